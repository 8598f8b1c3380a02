package routing

import "time"

// excludedFilter drops the upstreams in Request.Excluded.
type excludedFilter struct{}

func (excludedFilter) Name() string { return "excluded" }

func (excludedFilter) Keep(req *Request, c *Candidate, _ time.Time) bool {
	return len(req.Excluded) == 0 || !req.excludes(c.Upstream.Address)
}
