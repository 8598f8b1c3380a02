package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// errVMStops is the cause with which a planned stop ends the context of a request.
var errVMStops = errors.New("gateway: this VM stops; send the request to another VM")

// stopOutcome is what a stop did to a request. Each has a counter.
type stopOutcome string

const (
	// stopRefused: no runner has the request, its caller can turn to another VM.
	stopRefused stopOutcome = "refused"
	// stopUnanswered: a runner may have executed the request, which was answered
	// so in place of the runner.
	stopUnanswered stopOutcome = "unanswered"
	// stopAborted: a stream was broken off.
	stopAborted stopOutcome = "aborted"
	// stopHandedBack: pieces of another VM were not run.
	stopHandedBack stopOutcome = "handed_back"
)

// openRequest lets a stop end a request. It is safe for concurrent use.
type openRequest struct {
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	subject stopSubject
	ended   bool
}

// enter records that the request enters a phase. It returns false if a stop has
// ended it.
func (o *openRequest) enter(phase requestPhase) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return false
	}
	o.subject.phase = max(o.subject.phase, phase)
	return true
}

// endIfDue ends the request if the plan says so.
func (o *openRequest) endIfDue(p *StopPlan, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ended && p.mustEnd(now, &o.subject) {
		o.ended = true
		o.cancel(errVMStops)
	}
}

// openRequests holds the requests under way. It is safe for concurrent use.
type openRequests struct {
	mu  sync.Mutex
	set map[*openRequest]struct{}
}

// open registers a request whose route is not known yet. close must be called at
// its end.
func (s *openRequests) open(ctx context.Context, c *Call) (o *openRequest, stoppable context.Context, closeRequest func()) {
	stoppable, cancel := context.WithCancelCause(ctx)
	o = &openRequest{cancel: cancel, subject: stopSubject{received: c.Received, deadline: c.BodyDeadline()}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set[o] = struct{}{}
	return o, stoppable, func() {
		s.mu.Lock()
		delete(s.set, o)
		s.mu.Unlock()
		cancel(nil)
	}
}

// endDue ends the requests that the plan does not let go on.
func (s *openRequests) endDue(p *StopPlan, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for o := range s.set {
		o.endIfDue(p, now)
	}
}

// Stop begins a planned stop. Requests that might not end before the end of the
// plan are refused, and those that have not ended shortly before it are answered or
// broken off. It must be called once.
func (g *Gateway) Stop(p StopPlan) {
	g.stopPlan.Store(&p)
	for _, at := range p.checkTimes() {
		time.AfterFunc(time.Until(at), func() { g.checkStop(time.Now()) })
	}
}

// checkStop ends what the plan does not let go on.
func (g *Gateway) checkStop(now time.Time) {
	p := g.stopPlan.Load()
	g.open.endDue(p, now)
	if !p.mayAssemble(now, 0) {
		g.stopAssembling()
	}
}

// mayStart reports whether a stop lets the request be sent to a runner.
func (r *request) mayStart(now time.Time) bool {
	p := r.g.stopPlan.Load()
	if p == nil {
		return true
	}
	r.open.mu.Lock()
	defer r.open.mu.Unlock()
	return p.mayStart(now, &r.open.subject)
}

// recordDuration records how long a runner took that was asked at sentAt and has
// answered the request, so that a stop knows what is usual.
func (r *request) recordDuration(sentAt time.Time) {
	if !r.broken && r.status/100 == 2 {
		r.g.durations.observe(r.route.Name, time.Since(sentAt))
	}
}

const (
	stopRetryMin    = 20 * time.Millisecond
	stopRetryJitter = 40 * time.Millisecond
)

// stopRefusal returns the refusal for a request that this VM does not serve because
// it stops. Another VM can serve one that was not executed at once.
func (r *request) stopRefusal() *Refusal {
	if r.executions > 0 {
		r.stopped = stopUnanswered
		return &Refusal{Reason: AnswerLost, Executed: true, Detail: errVMStops.Error()}
	}
	r.stopped = stopRefused
	return &Refusal{Reason: Stopping, RetryAfter: stopRetryMin + rand.N(stopRetryJitter)}
}

// isStopped reports whether a stop has ended the context of a request.
func isStopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errVMStops) }
