package routing

import "time"

// minSlowStartWeight is the lowest slow-start weight. It bounds the cost of an
// upstream that has just been added or re-admitted.
const minSlowStartWeight = 0.1

// idleLoad is the load, in requests, added to the VM's own in the cost of an
// upstream in slow start. With 0 every VM would send it a request at once; with 1
// a busy pool would take too long to use a new upstream.
const idleLoad = 0.25

// slowStartScorer adds a cost for upstreams in slow start, which are new, returning
// or re-admitted ones, as if the VM's own load on them were divided by their
// slow-start weight. It adds what loadScorer does not already cover.
type slowStartScorer struct{ slots float64 }

func (slowStartScorer) Name() string { return "trust" }

func (s slowStartScorer) CostMS(_ *Request, c *Candidate, now time.Time) float64 {
	weight := min(c.Upstream.Weight(now), c.stats.ejection.slowStartWeight(now))
	if weight >= 1 {
		return 0
	}
	own := float64(len(c.stats.inFlight)) + idleLoad
	return c.stats.pool.medianMS * own * (1/max(weight, minSlowStartWeight) - 1) / s.slots
}
