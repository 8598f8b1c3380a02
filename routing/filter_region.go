package routing

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// regionFilter drops upstreams of other regions unless they are allowed.
type regionFilter struct {
	region  ids.Region
	allowed bool
}

func (regionFilter) Name() string { return "region" }

func (f regionFilter) Keep(_ *Request, c *Candidate, _ time.Time) bool {
	return f.allowed || c.Upstream.Region == f.region
}
