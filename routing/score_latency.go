package routing

import "time"

// latencyScorer charges the latency that the VM has measured itself. It finds
// an upstream out that reports less load than it has.
type latencyScorer struct{}

func (latencyScorer) Name() string { return "latency" }

func (latencyScorer) CostMS(_ *Request, c *Candidate, now time.Time) float64 {
	return c.stat.expectedLatencyMS(now)
}
