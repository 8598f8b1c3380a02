package routing

import "time"

// connectBreaker is tripped by consecutive connect failures to one upstream.
type connectBreaker struct {
	breaker
	failures int
}

func (b *connectBreaker) recordFailure(o CircuitOptions, now time.Time) {
	b.failures++
	if b.failures >= o.Failures || b.tripped {
		b.trip(o.Base, o.Max, now)
	}
}

func (b *connectBreaker) recordSuccess() {
	b.failures = 0
	b.reset()
}
