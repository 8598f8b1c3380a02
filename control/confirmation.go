package control

import "time"

// appliedVersions identifies the state that a control VM has applied.
type appliedVersions struct {
	settings    uint64
	document    uint64
	evacuations uint64
}

// covers reports whether a includes everything in b.
func (a appliedVersions) covers(b appliedVersions) bool {
	return a.settings >= b.settings && a.document >= b.document && a.evacuations >= b.evacuations
}

// confirmation is a heartbeat round in which a majority confirmed the leader.
type confirmation struct {
	// roundStart is the time at which the leader started the round. No settings,
	// document or evacuations newer than versions had been accepted before it.
	roundStart time.Time
	versions   appliedVersions
}

// confirmationTracker holds the newest usable confirmation of a control VM.
type confirmationTracker struct {
	usable confirmation
	// pending is newer than usable and cannot be used until this VM has applied
	// its versions.
	pending confirmation
}

// add records a confirmation if it is newer than those before.
func (t *confirmationTracker) add(next confirmation) {
	if next.roundStart.After(t.pending.roundStart) {
		t.pending = next
	}
}

// latest returns the round start of the newest confirmation whose versions own
// covers, or the zero time.
func (t *confirmationTracker) latest(own appliedVersions) time.Time {
	if own.covers(t.pending.versions) && t.pending.roundStart.After(t.usable.roundStart) {
		t.usable = t.pending
	}
	return t.usable.roundStart
}
