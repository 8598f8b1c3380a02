package admission

import "fmt"

// Priority is the class of service of a request.
type Priority uint8

// Priorities, highest first.
const (
	Interactive Priority = iota
	Normal
	Batch
)

// String returns the name used in the Damask-Priority header.
func (p Priority) String() string {
	return [...]string{"interactive", "normal", "batch"}[p]
}

// ParsePriority parses the value of a Damask-Priority header.
func ParsePriority(s string) (Priority, error) {
	for _, p := range []Priority{Interactive, Normal, Batch} {
		if p.String() == s {
			return p, nil
		}
	}
	return Normal, fmt.Errorf("admission: unknown priority %q; use interactive, normal or batch", s)
}
