package routing

import "time"

// loadScorer adds a cost for each request of the corrected load.
type loadScorer struct{ slots float64 }

func (loadScorer) Name() string { return "load" }

func (l loadScorer) CostMS(_ *Request, c *Candidate, now time.Time) float64 {
	return c.stats.pool.medianMS * c.stats.correctedLoad(now) / l.slots
}
