package routing

import "time"

// circuitFilter drops upstreams to which consecutive connection attempts have
// failed, except for one probe at a time after the backoff.
type circuitFilter struct{}

func (circuitFilter) Name() string { return "circuit" }

func (circuitFilter) Keep(_ *Request, c *Candidate, now time.Time) bool {
	switch c.stats.circuit.status(now) {
	case breakerClosed:
		return true
	case breakerHalfOpen:
		c.Probe = true
		return true
	}
	return false
}
