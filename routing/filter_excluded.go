package routing

import "time"

// excludedFilter drops the upstreams of earlier attempts.
type excludedFilter struct{}

func (excludedFilter) Name() string { return "excluded" }

func (excludedFilter) Keep(req *Request, c *Candidate, _ time.Time) bool {
	return len(req.Excluded) == 0 || !req.excludes(c.Upstream.Address)
}
