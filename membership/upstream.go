package membership

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// State is an upstream's state as this VM sees it.
type State uint8

// States of an upstream.
const (
	// Live upstreams get work.
	Live State = iota
	// Refused upstreams refused a connection and get no work for a while.
	Refused
	// Leaving upstreams get no new work.
	Leaving
)

// String names the state.
func (s State) String() string {
	return [...]string{"live", "refused", "leaving"}[s]
}

// MarshalText gives the name, as in the explanation of a choice.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Upstream is one address of a pool. It is immutable once in a View.
type Upstream struct {
	VM      ids.VMID
	Address string
	Pool    string
	Region  ids.Region
	// Unlisted says that a suspect list lacks this upstream.
	Unlisted bool

	leaving      bool
	refusedUntil time.Time
	trustFrom    time.Time
	slowStart    time.Duration
	trustFloor   float64
}

// State gives the state at time now.
func (u *Upstream) State(now time.Time) State {
	switch {
	case u.leaving:
		return Leaving
	case now.Before(u.refusedUntil):
		return Refused
	}
	return Live
}

// Usable says whether the upstream may get new work.
func (u *Upstream) Usable(now time.Time) bool { return u.State(now) == Live }

// Trust gives the share, above 0 and at most 1, of its usual work that the
// upstream should get. It is 0 while it may get none.
func (u *Upstream) Trust(now time.Time) float64 {
	if !u.Usable(now) {
		return 0
	}
	if u.trustFrom.IsZero() || u.slowStart <= 0 {
		return 1
	}
	grown := float64(now.Sub(u.trustFrom)) / float64(u.slowStart)
	return min(1, max(u.trustFloor, grown))
}
