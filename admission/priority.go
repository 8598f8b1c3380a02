package admission

import "fmt"

// Priority orders requests of a gate.
type Priority uint8

// Priorities, highest first.
const (
	Interactive Priority = iota
	Normal
	Batch
)

// String gives the name used in the Damask-Priority header.
func (p Priority) String() string {
	return [...]string{"interactive", "normal", "batch"}[p]
}

// ParsePriority reads the Damask-Priority header.
func ParsePriority(s string) (Priority, error) {
	for _, p := range []Priority{Interactive, Normal, Batch} {
		if p.String() == s {
			return p, nil
		}
	}
	return Normal, fmt.Errorf("admission: priority %q is not known; use interactive, normal or batch", s)
}
