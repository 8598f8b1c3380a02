package admission

import (
	"time"

	"damaskbridge.example/damaskbridge/problem"
)

func (g *Gate) observeHold(d time.Duration) {
	if g.holdMean == 0 {
		g.holdMean = float64(d)
		return
	}
	g.holdMean += holdGain * (float64(d) - g.holdMean)
}

// interval is the expected time between two grants.
func (g *Gate) interval() time.Duration {
	return time.Duration(g.holdMean / float64(max(1, g.limiter.Limit())))
}

// expectedWait estimates the wait of a new request: behind the requests of
// higher classes, and behind those of its own class or, in overload, behind one
// of each workspace that waits there.
func (g *Gate) expectedWait(req *Request, now time.Time) time.Duration {
	ahead := 1
	for i := range req.class() {
		ahead += g.ahead(g.classes[i], now)
	}
	ahead += g.ahead(g.classes[req.class()], now)
	return time.Duration(ahead) * g.interval()
}

func (g *Gate) ahead(c *class, now time.Time) int {
	if g.overloaded(now) {
		return len(c.active)
	}
	return c.live
}

// shedLate rejects what can't meet its deadline even if it were granted now.
func (g *Gate) shedLate(now time.Time) {
	for len(g.expiry) > 0 && g.expiry[0].req.late(0, now) {
		it := g.expiry[0]
		g.take(it)
		g.reject(it.ticket, &it.req, Expired)
	}
}

// trim rejects at once, in overload, the oldest requests of a lane that newer
// ones will be served before until their time is out.
func (g *Gate) trim(l *lane, class int, now time.Time) {
	if !g.overloaded(now) || class == startedClass {
		return
	}
	for l.live > laneDepth {
		it := l.oldest()
		lanes := len(g.classes[class].active)
		wait := time.Duration(l.live*lanes) * g.interval()
		if !it.req.late(wait, now) {
			return
		}
		g.take(it)
		g.reject(it.ticket, &it.req, WaitTooLong)
	}
}

// displace makes room in a full queue: the oldest request of the lowest class
// and, in the same class, of the longest lane gives way.
func (g *Gate) displace(it *item) bool {
	for i := classCount - 1; i > startedClass && i >= it.req.class(); i-- {
		l := longest(g.classes[i])
		if l == nil {
			continue
		}
		if i == it.req.class() && l.account.workspace == it.req.Workspace && !g.overloaded(it.since) {
			return false
		}
		old := l.oldest()
		g.take(old)
		g.reject(old.ticket, &old.req, Displaced)
		return true
	}
	return false
}

func longest(c *class) *lane {
	var found *lane
	for _, l := range c.active {
		if found == nil || l.live > found.live {
			found = l
		}
	}
	return found
}

func (g *Gate) reject(t Ticket, req *Request, reason Reason) {
	g.counts.Rejected[reason]++
	state := problem.NotRun
	if req.Started {
		state = problem.Ran
	}
	r := &Rejection{Reason: reason, RetryAfter: g.hint(), State: state}
	g.events = append(g.events, Event{Ticket: t, Rejection: r})
}

// hint is the time in which the present queue is served, spread over the
// rejections.
func (g *Gate) hint() time.Duration {
	g.hints++
	drain := time.Duration(len(g.waiting)+1) * g.interval()
	drain = min(g.opts.RetryMax, max(g.opts.RetryMin, drain))
	return drain + drain*time.Duration(g.hints%hintSpread)/hintSpread
}
