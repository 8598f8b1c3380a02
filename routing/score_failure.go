package routing

import (
	"math"
	"time"
)

// failureScorer adds a cost for each consecutive failure, so that requests avoid a
// failing upstream before it is ejected. The cost decays with the age of the last
// failure.
type failureScorer struct{}

func (failureScorer) Name() string { return "failure" }

func (failureScorer) CostMS(_ *Request, c *Candidate, now time.Time) float64 {
	s := c.stats
	if s.ejection.failures == 0 {
		return 0
	}
	age := max(0, now.Sub(s.ejection.lastFailure))
	decay := math.Exp(-float64(age) / float64(s.pool.opts.LatencyDecay))
	return s.pool.medianMS * float64(s.ejection.failures) * decay
}
