package routing

import "time"

// modelFilter drops upstreams that are known not to have the model or adapter
// loaded. It keeps upstreams that have not reported their models yet.
type modelFilter struct{}

func (modelFilter) Name() string { return "model" }

func (modelFilter) Keep(req *Request, c *Candidate, _ time.Time) bool {
	s := c.stats
	if req.Model != "" && s.models != nil && !s.models[req.Model] {
		return false
	}
	return req.Adapter == "" || s.adapters == nil || s.adapters[req.Adapter]
}
