package routing

import "time"

// stateFilter drops upstreams that are leaving or refuse connections.
type stateFilter struct{}

func (stateFilter) Name() string { return "state" }

func (stateFilter) Keep(_ *Request, c *Candidate, now time.Time) bool {
	return c.Upstream.Usable(now)
}
