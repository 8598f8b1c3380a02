package routing

import (
	"math"
	"time"
)

// failureScorer charges consecutive failures, so that requests leave an
// upstream that fails before it is ejected. The charge fades with time.
type failureScorer struct{}

func (failureScorer) Name() string { return "failure" }

func (failureScorer) CostMS(_ *Request, c *Candidate, now time.Time) float64 {
	s := c.stat
	if s.ejection.failures == 0 {
		return 0
	}
	age := max(0, now.Sub(s.ejection.failedAt))
	fade := math.Exp(-float64(age) / float64(s.pool.opts.LatencyLife))
	return s.pool.medianMS * float64(s.ejection.failures) * fade
}
