package membership

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// State is the state of an upstream as this VM sees it.
type State uint8

// States of upstreams.
const (
	// Live means that the upstream gets work.
	Live State = iota
	// Refused means that the upstream refused a connection and gets no work until
	// the backoff ends.
	Refused
	// Leaving means that the upstream is draining or shutting down and gets no
	// new work.
	Leaving
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"live", "refused", "leaving"}[s]
}

// MarshalText returns the state's name, which appears in the explanation of a
// routing choice.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Upstream is the record of one address of a pool. It is immutable.
type Upstream struct {
	VM      ids.VMID
	Address string
	Pool    string
	Region  ids.Region
	// Unlisted is set if the newest lists lack this upstream or show it as
	// leaving, but its removal is not confirmed.
	Unlisted bool

	leaving       bool
	refusedUntil  time.Time
	slowStartFrom time.Time
	slowStart     time.Duration
	minWeight     float64
}

// State returns the state at time now.
func (u *Upstream) State(now time.Time) State {
	switch {
	case u.leaving:
		return Leaving
	case now.Before(u.refusedUntil):
		return Refused
	}
	return Live
}

// Usable reports whether the upstream may get new work at time now.
func (u *Upstream) Usable(now time.Time) bool { return u.State(now) == Live }

// Weight returns the slow-start weight: the fraction, greater than 0 and at most
// 1, of its usual work that the upstream should get at time now. It is 0 while
// the upstream is not usable.
func (u *Upstream) Weight(now time.Time) float64 {
	if !u.Usable(now) {
		return 0
	}
	if u.slowStartFrom.IsZero() || u.slowStart <= 0 {
		return 1
	}
	weight := float64(now.Sub(u.slowStartFrom)) / float64(u.slowStart)
	return min(1, max(u.minWeight, weight))
}
