package routing

import "time"

// latencyScorer adds the expected latency, which the VM has measured itself. It
// also detects upstreams that report less load than they have.
type latencyScorer struct{}

func (latencyScorer) Name() string { return "latency" }

func (latencyScorer) CostMS(_ *Request, c *Candidate, now time.Time) float64 {
	return c.stats.expectedLatencyMS(now)
}
