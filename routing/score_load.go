package routing

import "time"

// loadScorer charges the corrected load.
type loadScorer struct{ slots float64 }

func (loadScorer) Name() string { return "load" }

func (l loadScorer) CostMS(_ *Request, c *Candidate, now time.Time) float64 {
	return c.stat.pool.medianMS * c.stat.correctedLoad(now) / l.slots
}
