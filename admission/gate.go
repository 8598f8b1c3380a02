package admission

import (
	"time"
)

const (
	// ewmaGain is the weight of a new sample in the moving averages of hold
	// times and sample delays.
	ewmaGain = 0.1
	// minFlowDepth is the number of waiting requests that each flow keeps in
	// overload, regardless of the estimated wait.
	minFlowDepth = 2
	// retryHintSpread is the number of distinct retry hints over which
	// consecutive rejections are spread, so that callers do not retry at the
	// same time.
	retryHintSpread = 8
)

// Gate is the admission control of one pool: a concurrency limit and a queue. It
// is not safe for concurrent use.
type Gate struct {
	opts       Options
	limiter    *Limiter
	classes    [classCount]*class
	usage      *usageTracker
	waiting    map[Ticket]*queuedRequest
	expiry     expiryHeap
	inFlight   map[Ticket]grant
	lastTicket Ticket
	// batchInFlight counts the requests in flight that MaxBatchFraction limits.
	batchInFlight int
	// meanHoldNS is the mean time in nanoseconds that a request holds its slot.
	meanHoldNS float64
	// nonEmptySince is when the queue became non-empty; zero while it is empty.
	nonEmptySince    time.Time
	lastOverdueCheck time.Time
	events           []Event
	counts           Counts
	// retryHints counts the retry hints returned.
	retryHints uint64
}

// grant is a request in flight.
type grant struct {
	grantedAt time.Time
	// batch reports that the request counts towards batchInFlight.
	batch bool
	// forBaseline reports that its latency is part of the initial baseline.
	forBaseline bool
	// latency is the value passed to Progress; zero if there was none.
	latency time.Duration
}

// NewGate returns a gate with an empty queue. Options must pass Options.Check.
func NewGate(opts Options) *Gate {
	g := &Gate{
		opts:     opts,
		limiter:  NewLimiter(opts.Limiter),
		usage:    newUsageTracker(),
		waiting:  map[Ticket]*queuedRequest{},
		inFlight: map[Ticket]grant{},
	}
	g.counts.Rejected = map[Reason]uint64{}
	g.limiter.gated = true
	for i := range g.classes {
		g.classes[i] = &class{number: i}
	}
	return g
}

// Offer submits a request and returns its ticket. The event that ends its wait is
// returned by a later call of Events, often already by the next one.
func (g *Gate) Offer(req Request, now time.Time) Ticket {
	g.lastTicket++
	q := &queuedRequest{ticket: g.lastTicket, req: req, enqueuedAt: now}
	g.limiter.CountOffer()
	g.Advance(now)
	switch {
	case req.missesDeadline(0, now):
		g.reject(q.ticket, &req, DeadlineTooShort)
	case len(g.waiting) == 0 && g.hasCapacity(&req):
		g.grant(q, now)
	case req.missesDeadline(g.expectedWait(&req, now), now):
		g.reject(q.ticket, &req, WaitTooLong)
	default:
		g.enqueue(q, now)
	}
	return q.ticket
}

// Progress records the latency of a granted request before the request ends, as
// at the first token of an engine. The limit then reacts without waiting for the
// end of the request. Only the first call counts, and Release does not count a
// second latency.
func (g *Gate) Progress(t Ticket, latency time.Duration, now time.Time) {
	gr, ok := g.inFlight[t]
	if !ok || gr.latency != 0 {
		return
	}
	gr.latency = max(1, latency)
	g.inFlight[t] = gr
	g.limiter.Observe(g.annotateSample(Sample{Latency: latency}, gr, now), len(g.inFlight), now)
	g.Advance(now)
}

// annotateSample returns the sample with its delay and with the mark for the
// initial baseline.
func (g *Gate) annotateSample(s Sample, gr grant, now time.Time) Sample {
	s.delay = max(0, now.Sub(gr.grantedAt)-s.Latency)
	s.forBaseline = gr.forBaseline
	return s
}

// Release ends a granted request and frees its slot. It has no effect on a ticket
// that is not in flight.
func (g *Gate) Release(t Ticket, s Sample, now time.Time) {
	gr, ok := g.inFlight[t]
	if !ok {
		return
	}
	if gr.latency != 0 {
		s.Latency = gr.latency
	}
	if gr.latency == 0 || s.Outcome == Dropped {
		g.limiter.Observe(g.annotateSample(s, gr, now), len(g.inFlight), now)
	}
	delete(g.inFlight, t)
	if gr.batch {
		g.batchInFlight--
	}
	if s.Outcome == OK {
		g.observeHold(now.Sub(gr.grantedAt))
		g.limiter.observeHold(now.Sub(gr.grantedAt), s.Latency)
	}
	g.Advance(now)
}

// Cancel abandons a request, whether it is queued or in flight.
func (g *Gate) Cancel(t Ticket, now time.Time) {
	if q, ok := g.waiting[t]; ok {
		g.dequeue(q)
		g.Advance(now)
		return
	}
	g.Release(t, Sample{Outcome: Ignored}, now)
}

// Advance sheds queued requests that can no longer meet their deadline and grants
// as many of the others as the limit allows. It must be called regularly while
// requests wait.
func (g *Gate) Advance(now time.Time) {
	g.shedExpired(now)
	g.checkOverdue(now)
	for {
		q := g.nextToGrant(now)
		if q == nil {
			break
		}
		g.dequeue(q)
		g.grant(q, now)
	}
	if len(g.waiting) == 0 {
		g.nonEmptySince = time.Time{}
	}
}

// checkOverdue lowers the limit if most requests in flight are overdue. It checks
// at most once per window.
func (g *Gate) checkOverdue(now time.Time) {
	maxAge := g.limiter.overdueAfter(now)
	if now.Sub(g.lastOverdueCheck) < g.opts.Limiter.Window || maxAge == 0 || len(g.inFlight) < g.opts.Limiter.WindowSamples {
		return
	}
	g.lastOverdueCheck = now
	overdue := 0
	for _, gr := range g.inFlight {
		if gr.latency == 0 && now.Sub(gr.grantedAt) > maxAge {
			overdue++
		}
	}
	if 2*overdue > len(g.inFlight) {
		g.limiter.ReduceForOverdue(now)
	}
}

// Events returns the events since the last call.
func (g *Gate) Events() []Event {
	events := g.events
	g.events = nil
	return events
}

// Limit returns the current concurrency limit.
func (g *Gate) Limit() int { return g.limiter.Limit() }

// InFlight returns the number of granted requests that have not been released.
func (g *Gate) InFlight() int { return len(g.inFlight) }

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return len(g.waiting) }

// Counts returns the counters. The map must not be changed.
func (g *Gate) Counts() Counts { return g.counts }

// EstimateWait estimates how long a request offered now would wait. Call it on
// the gates of all later stages before the first stage of a request starts.
func (g *Gate) EstimateWait(req Request, now time.Time) time.Duration {
	if len(g.waiting) == 0 && g.hasCapacity(&req) {
		return 0
	}
	return g.expectedWait(&req, now)
}

// hasCapacity reports whether the request may be granted within the limit and
// MaxBatchFraction.
func (g *Gate) hasCapacity(req *Request) bool {
	limit := g.limiter.Limit()
	if len(g.inFlight) >= limit {
		return false
	}
	if req.Priority == Batch && !req.Started {
		return g.batchInFlight < max(1, int(g.opts.MaxBatchFraction*float64(limit)))
	}
	return true
}

func (g *Gate) grant(q *queuedRequest, now time.Time) {
	g.usage.charge(&q.req, &g.classes)
	g.updateCredits(q.req.class())
	batch := q.req.Priority == Batch && !q.req.Started
	if batch {
		g.batchInFlight++
	}
	g.counts.Granted++
	g.inFlight[q.ticket] = grant{grantedAt: now, batch: batch, forBaseline: g.counts.Granted <= initialSamples}
	g.events = append(g.events, Event{Ticket: q.ticket})
}

func (g *Gate) enqueue(q *queuedRequest, now time.Time) {
	if len(g.waiting) >= g.opts.MaxQueued && !g.displaceFor(q) {
		g.reject(q.ticket, &q.req, QueueFull)
		return
	}
	if len(g.waiting) == 0 {
		g.nonEmptySince = now
	}
	g.counts.Queued++
	g.waiting[q.ticket] = q
	g.expiry.add(q)
	g.classes[q.req.class()].push(q, g.usage.get(q.req.Workspace))
	g.trimFlow(q.flow, q.req.class(), now)
	g.Advance(now)
}

func (g *Gate) dequeue(q *queuedRequest) {
	delete(g.waiting, q.ticket)
	g.expiry.remove(q)
	g.classes[q.req.class()].remove(q)
}

// overloaded reports whether the queue has been non-empty for longer than a burst
// explains.
func (g *Gate) overloaded(now time.Time) bool {
	return !g.nonEmptySince.IsZero() && now.Sub(g.nonEmptySince) >= g.opts.OverloadAfter
}

// nextToGrant returns the queued request to grant next, nil if none may be
// granted.
func (g *Gate) nextToGrant(now time.Time) *queuedRequest {
	if len(g.waiting) == 0 || len(g.inFlight) >= g.limiter.Limit() {
		return nil
	}
	newestFirst := g.overloaded(now)
	if q := g.nextGuaranteed(newestFirst); q != nil {
		return q
	}
	return g.nextByClass(newestFirst)
}

// nextByClass returns the next request in class order. If the next workspace of a
// class is above its share, so are all others waiting there, and the next lower
// class is served first.
func (g *Gate) nextByClass(newestFirst bool) *queuedRequest {
	var demoted *queuedRequest
	for i, c := range g.classes {
		q := c.next(newestFirst)
		if q != nil && !g.hasCapacity(&q.req) {
			q = nil
		}
		overShare := q != nil && i != startedClass && g.usage.exceedsShare(q.flow.usage, g.opts.ShareBurst)
		if q != nil && !overShare {
			return q
		}
		if demoted != nil {
			return demoted
		}
		demoted = q
	}
	return demoted
}

// nextGuaranteed returns a request of a class that has not received its
// guaranteed fraction of the grants, nil if there is none.
func (g *Gate) nextGuaranteed(newestFirst bool) *queuedRequest {
	for _, i := range []int{batchClass, normalClass} {
		c := g.classes[i]
		if c.credit < 1 {
			continue
		}
		if q := c.next(newestFirst); q != nil && g.hasCapacity(&q.req) {
			return q
		}
	}
	return nil
}

// updateCredits accounts for a grant to the served class: it pays one credit, and
// each other guaranteed class with waiting requests earns its fraction. A class
// without waiting requests loses its credit.
func (g *Gate) updateCredits(served int) {
	g.updateCredit(normalClass, g.opts.NormalGuarantee, served)
	g.updateCredit(batchClass, g.opts.BatchGuarantee, served)
}

func (g *Gate) updateCredit(i int, guarantee float64, served int) {
	c := g.classes[i]
	switch {
	case i == served:
		c.credit = max(0, c.credit-1)
	case c.waiting == 0:
		c.credit = 0
	default:
		c.credit = min(c.credit+guarantee/(1-guarantee), 2)
	}
}
