package entry

import "time"

// lease says until when this VM may treat its settings as current.
//
// It runs from the moment before the renewal was sent, less the age of the
// control VM's own proof, so it ends no later than the control VMs assume
// whatever the network did in between.
type lease struct {
	until time.Time
}

// extended gives the lease after a renewal. A renewal never shortens it.
func (l lease) extended(sent time.Time, age, term time.Duration) lease {
	until := sent.Add(term - age)
	if until.After(l.until) {
		return lease{until: until}
	}
	return l
}

// valid says whether the lease holds at now.
func (l lease) valid(now time.Time) bool {
	return now.Before(l.until)
}
