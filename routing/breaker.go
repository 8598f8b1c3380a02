package routing

import "time"

// breakerStatus tells which requests may be sent to an upstream.
type breakerStatus uint8

const (
	// breakerClosed allows all requests.
	breakerClosed breakerStatus = iota
	// breakerHalfOpen allows one request as a probe.
	breakerHalfOpen
	// breakerOpen allows no requests.
	breakerOpen
)

// breaker blocks requests to an upstream for a backoff that doubles with each
// failed probe.
type breaker struct {
	tripped      bool
	trippedUntil time.Time
	backoff      time.Duration
	// probing reports that a probe is in flight. After probeDeadline it is
	// ignored and another probe is allowed.
	probing       bool
	probeDeadline time.Time
}

// status returns the current status. A tripped breaker is half-open after its
// backoff while no probe is in flight.
func (b *breaker) status(now time.Time) breakerStatus {
	switch {
	case !b.tripped:
		return breakerClosed
	case now.Before(b.trippedUntil) || b.probing && now.Before(b.probeDeadline):
		return breakerOpen
	}
	return breakerHalfOpen
}

// trip blocks requests for the base backoff. If the breaker is already tripped,
// the backoff doubles instead, up to the longest one.
func (b *breaker) trip(base, longest time.Duration, now time.Time) {
	if b.tripped {
		b.backoff = min(2*b.backoff, longest)
	} else {
		b.backoff = base
	}
	b.tripped = true
	b.probing = false
	b.trippedUntil = now.Add(b.backoff)
}

// startProbe records that a probe is sent.
func (b *breaker) startProbe(timeout time.Duration, now time.Time) {
	b.probing = true
	b.probeDeadline = now.Add(timeout)
}

// reset allows all requests again.
func (b *breaker) reset() { *b = breaker{} }
