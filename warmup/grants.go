package warmup

import "time"

// Grants are those of one entry VM. They are immutable; nil holds none.
type Grants struct {
	// confirmedAt is the moment from which the term counts, as known to this VM: it
	// is never later than the true one.
	confirmedAt time.Time
	// confirmedOfDay is the time of day at that moment. The steady clock stands still
	// while a VM is suspended.
	confirmedOfDay time.Time
	processes      map[string]bool
}

// NewGrants returns the grants of an entry VM among those in a list that was
// confirmed at a time.
func NewGrants(confirmedAt time.Time, list []Grant, vm string) *Grants {
	g := &Grants{confirmedAt: confirmedAt, confirmedOfDay: confirmedAt.Round(0), processes: map[string]bool{}}
	for _, grant := range list {
		if grant.VM == vm {
			g.processes[grant.Process] = true
		}
	}
	return g
}

// Holds reports whether this VM may send requests to a process now. A time of day
// that jumps ahead ends the grants early.
func (g *Grants) Holds(now time.Time, process string) bool {
	if g == nil || !g.processes[process] {
		return false
	}
	steady := now.Sub(g.confirmedAt)
	ofDay := now.Round(0).Sub(g.confirmedOfDay)
	return max(steady, ofDay) < Term
}
