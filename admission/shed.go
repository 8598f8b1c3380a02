package admission

import (
	"time"

	"damaskbridge.example/damaskbridge/problem"
)

// observeHold adds a sample to the mean hold time of a slot.
func (g *Gate) observeHold(d time.Duration) {
	if g.meanHoldNS == 0 {
		g.meanHoldNS = float64(d)
		return
	}
	g.meanHoldNS += ewmaGain * (float64(d) - g.meanHoldNS)
}

// grantInterval returns the expected time between two grants.
func (g *Gate) grantInterval() time.Duration {
	return time.Duration(g.meanHoldNS / float64(max(1, g.limiter.Limit())))
}

// expectedWait estimates how long a new request would wait. The requests of
// higher classes and of its own class are served before it.
func (g *Gate) expectedWait(req *Request, now time.Time) time.Duration {
	ahead := 1
	for i := range req.class() {
		ahead += g.requestsAhead(g.classes[i], now)
	}
	ahead += g.requestsAhead(g.classes[req.class()], now)
	return time.Duration(ahead) * g.grantInterval()
}

// requestsAhead returns how many requests of a class are served before a new
// one. In overload the newest request of each workspace is served first, so only
// one request per waiting workspace counts.
func (g *Gate) requestsAhead(c *class, now time.Time) int {
	if g.overloaded(now) {
		return len(c.active)
	}
	return c.waiting
}

// shedExpired rejects the queued requests that would miss their deadline even if
// granted now.
func (g *Gate) shedExpired(now time.Time) {
	for len(g.expiry) > 0 && g.expiry[0].req.missesDeadline(0, now) {
		q := g.expiry[0]
		g.dequeue(q)
		g.reject(q.ticket, &q.req, Expired)
	}
}

// trimFlow rejects, in overload, the oldest requests of a flow that would expire
// anyway because newer ones are served before them.
func (g *Gate) trimFlow(f *flow, class int, now time.Time) {
	if !g.overloaded(now) || class == startedClass {
		return
	}
	for f.waiting > minFlowDepth {
		q := f.oldest()
		flows := len(g.classes[class].active)
		wait := time.Duration(f.waiting*flows) * g.grantInterval()
		if !q.req.missesDeadline(wait, now) {
			return
		}
		g.dequeue(q)
		g.reject(q.ticket, &q.req, WaitTooLong)
	}
}

// displaceFor makes room for q in a full queue. It rejects the oldest request of
// the longest flow in the lowest class that has one, and reports whether it did.
// A request displaces one of its own workspace and class only in overload.
func (g *Gate) displaceFor(q *queuedRequest) bool {
	for i := classCount - 1; i > startedClass && i >= q.req.class(); i-- {
		f := longestFlow(g.classes[i])
		if f == nil {
			continue
		}
		if i == q.req.class() && f.usage.workspace == q.req.Workspace && !g.overloaded(q.enqueuedAt) {
			return false
		}
		victim := f.oldest()
		g.dequeue(victim)
		g.reject(victim.ticket, &victim.req, Displaced)
		return true
	}
	return false
}

// longestFlow returns the class's flow with the most waiting requests, nil if
// none wait.
func longestFlow(c *class) *flow {
	var found *flow
	for _, f := range c.active {
		if found == nil || f.waiting > found.waiting {
			found = f
		}
	}
	return found
}

func (g *Gate) reject(t Ticket, req *Request, reason Reason) {
	g.counts.Rejected[reason]++
	state := problem.NotRun
	if req.Started {
		state = problem.Executed
	}
	r := &Rejection{Reason: reason, RetryAfter: g.retryHint(), State: state}
	g.events = append(g.events, Event{Ticket: t, Rejection: r})
}

// retryHint returns the expected time to drain the queue plus an offset that
// differs between consecutive rejections.
func (g *Gate) retryHint() time.Duration {
	g.retryHints++
	drain := time.Duration(len(g.waiting)+1) * g.grantInterval()
	drain = min(g.opts.RetryMax, max(g.opts.RetryMin, drain))
	return drain + drain*time.Duration(g.retryHints%retryHintSpread)/retryHintSpread
}
