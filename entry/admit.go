package entry

import (
	"context"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/admission"
	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

// advanceInterval is the time between two checks of the admission queues.
const advanceInterval = 20 * time.Millisecond

// poolSlot is the admission of one request to a pool.
type poolSlot struct {
	server *Server
	pool   string
	ticket admission.Ticket
	// held is true until the slot is released. It is atomic because attempts
	// may outlive the stage.
	held atomic.Bool
}

// release frees the slot and passes a sample to the pool's limit. latency is that
// of the upstream, without the wait for admission.
func (s *poolSlot) release(latency time.Duration, err error) {
	if !s.held.CompareAndSwap(true, false) {
		return
	}
	sample := admission.Sample{Latency: latency, Outcome: sampleOutcome(err)}
	s.server.gates.Release(s.pool, s.ticket, sample, time.Now())
}

// progress reports the time to the first token to the pool's limit, long before
// the slot is released.
func (s *poolSlot) progress(first time.Duration) {
	if s.held.Load() {
		s.server.gates.Progress(s.pool, s.ticket, first, time.Now())
	}
}

// cancel frees the slot without a sample, as when a stored response made the call
// unnecessary.
func (s *poolSlot) cancel() {
	if s.held.CompareAndSwap(true, false) {
		s.server.gates.Cancel(s.pool, s.ticket, time.Now())
	}
}

// sampleOutcome maps the end of a stage to its meaning for the pool's limit.
func sampleOutcome(err error) admission.Outcome {
	if err == nil {
		return admission.OK
	}
	if p, ok := problem.As(err); ok && p.Reason == problem.DeadlineExceeded {
		return admission.Dropped
	}
	if upstream.CauseOf(err) == upstream.Overloaded {
		return admission.Dropped
	}
	return admission.Ignored
}

// admit waits for a slot in the pool of a stage. A request whose earlier stages
// have run takes precedence over new ones. need is the time that the remaining
// stages usually take.
func (s *Server) admit(ctx context.Context, req *request, pool string, need time.Duration) (*poolSlot, error) {
	slot := &poolSlot{server: s, pool: pool}
	if s.opts.Policy.NoAdmission {
		return slot, nil
	}
	admissionReq := s.admissionRequest(req, need)
	w := s.gates.Offer(pool, admissionReq, time.Now())
	slot.ticket = w.Ticket
	select {
	case e := <-w.Done:
		if e.Rejection != nil {
			return nil, s.rejectionProblem(req, pool, e.Rejection)
		}
		slot.held.Store(true)
		return slot, nil
	case <-ctx.Done():
		s.gates.Cancel(pool, w.Ticket, time.Now())
		return nil, context.Cause(ctx)
	}
}

func (s *Server) admissionRequest(req *request, need time.Duration) admission.Request {
	return admission.Request{
		Workspace:     req.workspace.Name,
		Weight:        float64(req.tree.Int(req.branch, settings.WorkspaceWeight)),
		Priority:      req.priority,
		Deadline:      req.deadline,
		RemainingTime: need,
		Started:       req.mayHaveRun.Load() > 0,
	}
}

// rejectionProblem counts a rejected request and returns its problem.
func (s *Server) rejectionProblem(req *request, pool string, r *admission.Rejection) error {
	s.counters.countShed(pool, string(r.Reason))
	r.State = req.executionState()
	return r.Problem(req.id.String())
}

// latencyKey returns the key of a stage's latency distribution.
func latencyKey(stage settings.Stage, maxTokens int) budget.Key {
	k := budget.Key{Stage: stage.Pool}
	if stage.Kind == settings.KindGenerate {
		k.Class = budget.SizeClass(maxTokens)
	}
	return k
}

func latencyKeys(stages []settings.Stage, maxTokens int) []budget.Key {
	keys := make([]budget.Key, 0, len(stages))
	for _, stage := range stages {
		keys = append(keys, latencyKey(stage, maxTokens))
	}
	return keys
}

// checkFeasible rejects a request that can't finish before its deadline,
// including the waits at all its pools, while nothing of it has run.
func (s *Server) checkFeasible(req *request, stages []settings.Stage, maxTokens int) error {
	if s.opts.Policy.NoAdmission {
		return nil
	}
	now := time.Now()
	remaining := req.deadline.Sub(now)
	plan := s.planner.Plan(latencyKeys(stages, maxTokens), remaining, now)
	var wait time.Duration
	for _, stage := range stages {
		wait += s.gates.EstimateWait(stage.Pool, s.admissionRequest(req, plan.Need), now)
	}
	if plan.Feasible && wait+plan.Need <= remaining {
		return nil
	}
	p := req.problemf(problem.DeadlineTooShort, "the stages take %v and wait %v of the %v left", plan.Need.Round(time.Millisecond), wait.Round(time.Millisecond), remaining.Round(time.Millisecond))
	return p.WithRetryAfter(max(wait, minRetryAfter))
}

// minRetryAfter is the shortest retry hint of an early rejection.
const minRetryAfter = 100 * time.Millisecond

// runAdmission sheds or admits waiting requests until ctx ends.
func (s *Server) runAdmission(ctx context.Context) {
	timer.Every(ctx, advanceInterval, func() { s.gates.Advance(time.Now()) })
}
