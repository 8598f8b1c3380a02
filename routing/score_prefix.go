package routing

import "time"

// prefixScorer credits the prompt blocks that the upstream presumably has in
// its cache.
type prefixScorer struct{ saveMS float64 }

func (prefixScorer) Name() string { return "prefix" }

func (p prefixScorer) CostMS(req *Request, c *Candidate, now time.Time) float64 {
	if len(req.Prefix) == 0 || c.stat.prefixes == nil {
		return 0
	}
	return -p.saveMS * c.stat.prefixes.match(req.Prefix, now)
}
