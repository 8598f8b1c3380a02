package admission

import (
	"time"
)

const (
	// holdGain is the weight of a new sample in the mean time that a request
	// holds its place.
	holdGain = 0.1
	// laneDepth is the number of waiting requests that a workspace always keeps
	// in overload, whatever the estimate of the wait says.
	laneDepth = 2
	// hintSpread divides the retry hints of consecutive rejections, so that the
	// callers don't come back together.
	hintSpread = 8
)

// Gate admits requests to one pool.
type Gate struct {
	opts    Options
	limiter *Limiter
	classes [classCount]*class
	shares  *shares
	waiting map[Ticket]*item
	expiry  expiry
	granted map[Ticket]grant
	next    Ticket
	batch   int
	// holdMean is the mean time in nanoseconds that a request holds its place.
	holdMean float64
	// busySince is when the queue was last empty; zero while it is.
	busySince time.Time
	// checked is when the requests under way were last checked for their age.
	checked time.Time
	events  []Event
	counts  Counts
	hints   uint64
}

// grant is a request under way.
type grant struct {
	since time.Time
	batch bool
	first bool
	// latency is the sample given by Progress, if any.
	latency time.Duration
}

// NewGate gives a gate with an empty queue. Options are as checked by Check.
func NewGate(opts Options) *Gate {
	g := &Gate{
		opts:    opts,
		limiter: NewLimiter(opts.Limiter),
		shares:  newShares(),
		waiting: map[Ticket]*item{},
		granted: map[Ticket]grant{},
	}
	g.counts.Rejected = map[Reason]uint64{}
	g.limiter.gated = true
	for i := range g.classes {
		g.classes[i] = &class{number: i}
	}
	return g
}

// Offer takes a request. The event that ends its wait is given by Events, often
// right after this call.
func (g *Gate) Offer(req Request, now time.Time) Ticket {
	g.next++
	it := &item{ticket: g.next, req: req, since: now}
	g.limiter.Offer()
	g.Advance(now)
	switch {
	case req.late(0, now):
		g.reject(it.ticket, &req, DeadlineTooShort)
	case len(g.waiting) == 0 && g.fits(&req):
		g.grant(it, now)
	case req.late(g.expectedWait(&req, now), now):
		g.reject(it.ticket, &req, WaitTooLong)
	default:
		g.enqueue(it, now)
	}
	return it.ticket
}

// Progress gives the latency of a granted request before its end, as with the
// first token of an engine. The limit then reacts by the time that the request
// is held sooner. Release counts no second latency for it.
func (g *Gate) Progress(t Ticket, latency time.Duration, now time.Time) {
	gr, ok := g.granted[t]
	if !ok || gr.latency != 0 {
		return
	}
	gr.latency = max(1, latency)
	g.granted[t] = gr
	g.limiter.Observe(g.delayed(Sample{Latency: latency}, gr, now), len(g.granted), now)
	g.Advance(now)
}

// delayed notes how long after its latency the sample is given, and whether it
// is that of one of the first requests.
func (g *Gate) delayed(s Sample, gr grant, now time.Time) Sample {
	s.delay = max(0, now.Sub(gr.since)-s.Latency)
	s.first = gr.first
	return s
}

// Release ends a granted request.
func (g *Gate) Release(t Ticket, s Sample, now time.Time) {
	gr, ok := g.granted[t]
	if !ok {
		return
	}
	if gr.latency != 0 {
		s.Latency = gr.latency
	}
	if gr.latency == 0 || s.Outcome == Dropped {
		g.limiter.Observe(g.delayed(s, gr, now), len(g.granted), now)
	}
	delete(g.granted, t)
	if gr.batch {
		g.batch--
	}
	if s.Outcome == OK {
		g.observeHold(now.Sub(gr.since))
		g.limiter.observeHold(now.Sub(gr.since), s.Latency)
	}
	g.Advance(now)
}

// Cancel gives a request up, whether it waits or was granted.
func (g *Gate) Cancel(t Ticket, now time.Time) {
	if it, ok := g.waiting[t]; ok {
		g.take(it)
		g.Advance(now)
		return
	}
	g.Release(t, Sample{Outcome: Ignored}, now)
}

// Advance sheds what can't meet its deadline any more and grants what fits.
// Call it regularly while requests wait.
func (g *Gate) Advance(now time.Time) {
	g.shedLate(now)
	g.checkOverdue(now)
	for {
		it := g.choose(now)
		if it == nil {
			break
		}
		g.take(it)
		g.grant(it, now)
	}
	if len(g.waiting) == 0 {
		g.busySince = time.Time{}
	}
}

// checkOverdue looks once per window whether most requests under way are overdue.
func (g *Gate) checkOverdue(now time.Time) {
	limit := g.limiter.overdueAfter(now)
	if now.Sub(g.checked) < g.opts.Limiter.Window || limit == 0 || len(g.granted) < g.opts.Limiter.WindowSamples {
		return
	}
	g.checked = now
	overdue := 0
	for _, gr := range g.granted {
		if gr.latency == 0 && now.Sub(gr.since) > limit {
			overdue++
		}
	}
	if 2*overdue > len(g.granted) {
		g.limiter.Overdue(now)
	}
}

// Events gives what has happened since the last call.
func (g *Gate) Events() []Event {
	events := g.events
	g.events = nil
	return events
}

// Limit gives the present concurrency limit, InFlight the requests under way
// and Waiting those in the queue.
func (g *Gate) Limit() int    { return g.limiter.Limit() }
func (g *Gate) InFlight() int { return len(g.granted) }
func (g *Gate) Waiting() int  { return len(g.waiting) }

// Counts gives the counters. The map must not be changed.
func (g *Gate) Counts() Counts { return g.counts }

// Wait estimates how long a request would wait now. Ask it of the later stages'
// gates before a request is started.
func (g *Gate) Wait(req Request, now time.Time) time.Duration {
	if len(g.waiting) == 0 && g.fits(&req) {
		return 0
	}
	return g.expectedWait(&req, now)
}

func (g *Gate) fits(req *Request) bool {
	limit := g.limiter.Limit()
	if len(g.granted) >= limit {
		return false
	}
	if req.Priority == Batch && !req.Started {
		return g.batch < max(1, int(g.opts.BatchCap*float64(limit)))
	}
	return true
}

func (g *Gate) grant(it *item, now time.Time) {
	g.shares.charge(&it.req, &g.classes)
	g.settle(it.req.class())
	batch := it.req.Priority == Batch && !it.req.Started
	if batch {
		g.batch++
	}
	g.counts.Granted++
	g.granted[it.ticket] = grant{since: now, batch: batch, first: g.counts.Granted <= firstGrants}
	g.events = append(g.events, Event{Ticket: it.ticket})
}

func (g *Gate) enqueue(it *item, now time.Time) {
	if len(g.waiting) >= g.opts.Queue && !g.displace(it) {
		g.reject(it.ticket, &it.req, QueueFull)
		return
	}
	if len(g.waiting) == 0 {
		g.busySince = now
	}
	g.counts.Queued++
	g.waiting[it.ticket] = it
	g.expiry.add(it)
	g.classes[it.req.class()].push(it, g.shares.account(it.req.Workspace))
	g.trim(it.lane, it.req.class(), now)
	g.Advance(now)
}

func (g *Gate) take(it *item) {
	delete(g.waiting, it.ticket)
	g.expiry.remove(it)
	g.classes[it.req.class()].drop(it)
}

// overloaded says that the queue has stood for too long to be a mere burst.
func (g *Gate) overloaded(now time.Time) bool {
	return !g.busySince.IsZero() && now.Sub(g.busySince) >= g.opts.OverloadAfter
}

// choose gives the waiting item to grant next, nil if none fits.
func (g *Gate) choose(now time.Time) *item {
	if len(g.waiting) == 0 || len(g.granted) >= g.limiter.Limit() {
		return nil
	}
	newestFirst := g.overloaded(now)
	if it := g.guaranteed(newestFirst); it != nil {
		return it
	}
	return g.byClass(newestFirst)
}

// byClass gives the next item in the order of the classes. Where every waiting
// workspace of a class is above its share, the next lower class goes before it.
func (g *Gate) byClass(newestFirst bool) *item {
	var demoted *item
	for i, c := range g.classes {
		it := c.next(newestFirst)
		if it != nil && !g.fits(&it.req) {
			it = nil
		}
		above := it != nil && i != startedClass && g.shares.over(it.lane.account, g.opts.ShareBurst)
		if it != nil && !above {
			return it
		}
		if demoted != nil {
			return demoted
		}
		demoted = it
	}
	return demoted
}

// guaranteed gives an item of a class that has missed its part of the grants.
func (g *Gate) guaranteed(newestFirst bool) *item {
	for _, i := range []int{batchClass, normalClass} {
		c := g.classes[i]
		if c.credit < 1 {
			continue
		}
		if it := c.next(newestFirst); it != nil && g.fits(&it.req) {
			return it
		}
	}
	return nil
}

// settle counts a grant for the guarantees: each waiting class gains its part
// and the served one pays. A class without waiting requests keeps no credit.
func (g *Gate) settle(served int) {
	g.earn(normalClass, g.opts.NormalGuarantee, served)
	g.earn(batchClass, g.opts.BatchGuarantee, served)
}

func (g *Gate) earn(i int, part float64, served int) {
	c := g.classes[i]
	switch {
	case i == served:
		c.credit = max(0, c.credit-1)
	case c.live == 0:
		c.credit = 0
	default:
		c.credit = min(c.credit+part/(1-part), 2)
	}
}
