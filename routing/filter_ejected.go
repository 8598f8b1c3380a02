package routing

import "time"

// ejectedFilter drops ejected upstreams, except for one probe at a time once
// the backoff is over.
type ejectedFilter struct{}

func (ejectedFilter) Name() string { return "ejected" }

func (ejectedFilter) Keep(_ *Request, c *Candidate, now time.Time) bool {
	switch c.stat.ejection.state(now) {
	case gateOpen:
		return true
	case gateProbe:
		c.Probe = true
		return true
	}
	return false
}
