package entry

import "time"

// settingsLease is the period in which this VM may treat its settings as
// current.
//
// It starts when the renewal was sent, minus the age of the leader confirmation
// on which the control VM's reply is based. It therefore never ends later than
// the control VMs assume, however long the network delayed the renewal.
type settingsLease struct {
	until time.Time
}

// renewed returns the lease after a renewal. A renewal never shortens it.
func (l settingsLease) renewed(sent time.Time, age, term time.Duration) settingsLease {
	until := sent.Add(term - age)
	if until.After(l.until) {
		return settingsLease{until: until}
	}
	return l
}

// valid reports whether the lease has not expired at now.
func (l settingsLease) valid(now time.Time) bool {
	return now.Before(l.until)
}
