package routing

import "time"

// ejectedFilter drops ejected upstreams, except for one probe at a time after the
// backoff.
type ejectedFilter struct{}

func (ejectedFilter) Name() string { return "ejected" }

func (ejectedFilter) Keep(_ *Request, c *Candidate, now time.Time) bool {
	switch c.stats.ejection.status(now) {
	case breakerClosed:
		return true
	case breakerHalfOpen:
		c.Probe = true
		return true
	}
	return false
}
