package transport

import "time"

const (
	// quietChecks is the number of checks in a row without a frame after which a
	// peer counts as silent.
	quietChecks = 2
	// lateFactor times the period is the time between two checks from which on this
	// process was held up itself, and may not have read what has arrived.
	lateFactor = 2
)

// progressWatch decides from checks once a period whether a peer is silent. The time
// in which this process was frozen or busy is no silence of the peer.
type progressWatch struct {
	period time.Duration
	// seen is the number of frames at the last check that found a new one.
	seen      uint64
	quiet     int
	checkedAt time.Time
}

// check reports whether the peer is silent. received is the number of frames from it.
func (w *progressWatch) check(now time.Time, received uint64) bool {
	late := now.Sub(w.checkedAt) > lateFactor*w.period
	w.checkedAt = now
	if received != w.seen || late {
		w.seen, w.quiet = received, 0
		return false
	}
	w.quiet++
	return w.quiet >= quietChecks
}
