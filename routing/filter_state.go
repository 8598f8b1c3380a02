package routing

import "time"

// stateFilter drops upstreams whose membership state does not allow requests, such
// as those that drain or refuse connections.
type stateFilter struct{}

func (stateFilter) Name() string { return "state" }

func (stateFilter) Keep(_ *Request, c *Candidate, now time.Time) bool {
	return c.Upstream.Usable(now)
}
