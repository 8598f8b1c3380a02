package routing

import "time"

// residencyFilter drops upstreams of regions in which the request may not be
// processed.
type residencyFilter struct{}

func (residencyFilter) Name() string { return "residency" }

func (residencyFilter) Keep(req *Request, c *Candidate, _ time.Time) bool {
	return req.Allowed.Allows(string(c.Upstream.Region))
}
