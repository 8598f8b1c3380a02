package warmup

import "time"

const (
	// proberInterval is the time between two requests of a VM that tries a runner of
	// which is not known whether it is cold; otherInterval that of other VMs.
	proberInterval = time.Second
	otherInterval  = 8 * time.Second
)

// Recovery is what a VM knows of a runner to which a connection could not be opened:
// its process may have ended, and may start again before the list shows it. The zero
// value knows nothing. It is not safe for concurrent use.
type Recovery struct {
	failed bool
	// triedAt is when the last request was sent since the failure. recoveredAt is
	// when the first one has succeeded.
	triedAt     time.Time
	recoveredAt time.Time
}

// RecordFailure records that no connection could be opened.
func (r *Recovery) RecordFailure(now time.Time) {
	*r = Recovery{failed: true, triedAt: now}
}

// RecordSuccess records that the runner has answered.
func (r *Recovery) RecordSuccess(now time.Time) {
	if r.failed && r.recoveredAt.IsZero() {
		r.recoveredAt = now
	}
}

// IsPending reports whether the runner may be cold: it has not answered since the
// failure, or for less than its warm-up time.
func (r *Recovery) IsPending(now time.Time, warmUp time.Duration) bool {
	if r.failed && !r.recoveredAt.IsZero() && now.Sub(r.recoveredAt) >= warmUp {
		*r = Recovery{}
	}
	return r.failed
}

// May reports whether a request may be sent while the recovery is pending.
func (r *Recovery) May(now time.Time, prober bool) bool {
	interval := otherInterval
	if prober {
		interval = proberInterval
	}
	return now.Sub(r.triedAt) >= interval
}

// Take counts a request that May has allowed.
func (r *Recovery) Take(now time.Time) { r.triedAt = now }
