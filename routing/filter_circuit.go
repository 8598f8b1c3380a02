package routing

import "time"

// circuitFilter drops upstreams to which several connections in a row have
// failed, except for one probe at a time once the backoff is over.
type circuitFilter struct{}

func (circuitFilter) Name() string { return "circuit" }

func (circuitFilter) Keep(_ *Request, c *Candidate, now time.Time) bool {
	switch c.stat.circuit.state(now) {
	case gateOpen:
		return true
	case gateProbe:
		c.Probe = true
		return true
	}
	return false
}
