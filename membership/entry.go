package membership

import (
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// entry is the tracker's record of one address.
type entry struct {
	member Member
	// leftAt is when the upstream was seen leaving; zero if it is not.
	leftAt time.Time
	// listedLeaving says that a list has confirmed that it is leaving.
	listedLeaving bool

	refusedAt    time.Time
	refusedUntil time.Time
	refusals     int
	succeededAt  time.Time
	trustFrom    time.Time
	// returnedAt is when the list brought the upstream in or back; signs of
	// leaving from before belong to an earlier incarnation.
	returnedAt time.Time
	unlisted   bool

	// ownSign is what this VM has seen and tells the others.
	ownSign   settings.SignState
	ownSignAt time.Time

	// published is the entry's record in the newest view; nil if that is old.
	published *Upstream
}

func (e *entry) leaving() bool { return !e.leftAt.IsZero() }

// failedSince says whether own observation shows the upstream gone after t.
func (e *entry) failedSince(t time.Time) bool {
	return !e.leftAt.Before(t) || !e.refusedAt.Before(t)
}
