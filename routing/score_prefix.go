package routing

import "time"

// prefixScorer subtracts the time saved by the prompt blocks that are expected in
// the upstream's cache.
type prefixScorer struct{ savedMSPerBlock float64 }

func (prefixScorer) Name() string { return "prefix" }

func (p prefixScorer) CostMS(req *Request, c *Candidate, now time.Time) float64 {
	if len(req.Prefix) == 0 || c.stats.prefixIndex == nil {
		return 0
	}
	return -p.savedMSPerBlock * c.stats.prefixIndex.expectedMatch(req.Prefix, now)
}
