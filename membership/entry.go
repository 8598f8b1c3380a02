package membership

import (
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// entry is the tracker's mutable state of one address.
type entry struct {
	member Member
	// leavingSince is when the upstream began to leave, as far as is known; zero
	// if it is not leaving.
	leavingSince time.Time
	// listedLeaving is set once a list has shown the upstream as leaving.
	listedLeaving bool

	refusedAt           time.Time
	refusedUntil        time.Time
	consecutiveRefusals int
	succeededAt         time.Time
	slowStartFrom       time.Time
	// returnedAt is when a list added or restored the upstream. Older observations
	// of leaving refer to an earlier incarnation.
	returnedAt time.Time
	unlisted   bool

	// ownObservation is the last observation of this VM, which is sent to other VMs.
	ownObservation   settings.ObservedState
	ownObservationAt time.Time

	// published is the entry's record in the last View, or nil if the entry has
	// changed since.
	published *Upstream
}

func (e *entry) leaving() bool { return !e.leavingSince.IsZero() }

// failedSince reports whether the upstream was observed leaving or refusing
// connections at or after t.
func (e *entry) failedSince(t time.Time) bool {
	return !e.leavingSince.Before(t) || !e.refusedAt.Before(t)
}
