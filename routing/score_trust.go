package routing

import "time"

// trustFloor bounds the cost of an upstream that has just been re-admitted.
const trustFloor = 0.1

// idleRequest stands for the first request in the charge of an idle upstream.
// With 0 each VM would send one at once, and with 1 a busy pool waits too long
// for the new upstream.
const idleRequest = 0.25

// trustScorer charges new, returning and re-admitted upstreams as if their own
// requests were more by the inverse of the trust in them.
type trustScorer struct{ slots float64 }

func (trustScorer) Name() string { return "trust" }

func (t trustScorer) CostMS(_ *Request, c *Candidate, now time.Time) float64 {
	trust := min(c.Upstream.Trust(now), c.stat.ejection.trust(now))
	if trust >= 1 {
		return 0
	}
	own := float64(len(c.stat.inFlight)) + idleRequest
	return c.stat.pool.medianMS * own * (1/max(trust, trustFloor) - 1) / t.slots
}
