package entry

import (
	"context"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/admission"
	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

// advanceInterval is the time between two looks at the queues.
const advanceInterval = 20 * time.Millisecond

// place is a request's place in a pool.
type place struct {
	s      *Server
	pool   string
	ticket admission.Ticket
	// held is read by attempts that may end after the stage.
	held atomic.Bool
}

// release gives the place back. The latency is that of the upstream alone.
func (p *place) release(latency time.Duration, err error) {
	if !p.held.CompareAndSwap(true, false) {
		return
	}
	sample := admission.Sample{Latency: latency, Outcome: sampleOutcome(err)}
	p.s.gates.Release(p.pool, p.ticket, sample, time.Now())
}

// progress tells the pool's limit the time to the first token, long before the
// place is given back.
func (p *place) progress(first time.Duration) {
	if p.held.Load() {
		p.s.gates.Progress(p.pool, p.ticket, first, time.Now())
	}
}

// cancel gives the place back without a sample, as when a stored response made
// the call needless.
func (p *place) cancel() {
	if p.held.CompareAndSwap(true, false) {
		p.s.gates.Cancel(p.pool, p.ticket, time.Now())
	}
}

// sampleOutcome says what the end of a stage tells about the pool's load.
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

// admit waits for a place in the pool of a stage. A request whose earlier
// stages have run goes before new ones.
func (s *Server) admit(ctx context.Context, q *request, pool string, need time.Duration) (*place, error) {
	p := &place{s: s, pool: pool}
	if s.opts.Policy.NoAdmission {
		return p, nil
	}
	req := s.admissionRequest(q, need)
	w := s.gates.Offer(pool, req, time.Now())
	p.ticket = w.Ticket
	select {
	case e := <-w.Done:
		if e.Rejection != nil {
			return nil, s.rejected(q, pool, e.Rejection)
		}
		p.held.Store(true)
		return p, nil
	case <-ctx.Done():
		s.gates.Cancel(pool, w.Ticket, time.Now())
		return nil, context.Cause(ctx)
	}
}

func (s *Server) admissionRequest(q *request, need time.Duration) admission.Request {
	return admission.Request{
		Workspace: q.workspace.Name,
		Weight:    float64(q.tree.Int(q.branch, settings.WorkspaceWeight)),
		Priority:  q.priority,
		Deadline:  q.deadline,
		Need:      need,
		Started:   q.mayHaveRun.Load() > 0,
	}
}

// rejected gives the problem of a request that got no place.
func (s *Server) rejected(q *request, pool string, r *admission.Rejection) error {
	s.counters.shed(pool, string(r.Reason))
	r.State = q.state()
	return r.Problem(q.id.String())
}

// stageKey names a stage's latency distribution.
func stageKey(st settings.Stage, maxTokens int) budget.Key {
	k := budget.Key{Stage: st.Pool}
	if st.Kind == settings.Generate {
		k.Class = budget.SizeClass(maxTokens)
	}
	return k
}

func stageKeys(stages []settings.Stage, maxTokens int) []budget.Key {
	keys := make([]budget.Key, 0, len(stages))
	for _, st := range stages {
		keys = append(keys, stageKey(st, maxTokens))
	}
	return keys
}

// feasible refuses a request that can't be finished before its deadline, with
// the waits at all its pools, while nothing of it has run.
func (s *Server) feasible(q *request, stages []settings.Stage, maxTokens int) error {
	if s.opts.Policy.NoAdmission {
		return nil
	}
	now := time.Now()
	remaining := q.deadline.Sub(now)
	plan := s.times.Plan(stageKeys(stages, maxTokens), remaining, now)
	var wait time.Duration
	for _, st := range stages {
		wait += s.gates.Wait(st.Pool, s.admissionRequest(q, plan.Need), now)
	}
	if plan.Feasible && wait+plan.Need <= remaining {
		return nil
	}
	p := q.fail(problem.DeadlineTooShort, "the stages take %v and wait %v of the %v left", plan.Need.Round(time.Millisecond), wait.Round(time.Millisecond), remaining.Round(time.Millisecond))
	return p.After(max(wait, minRetryHint))
}

// minRetryHint is the least retry hint of an early refusal.
const minRetryHint = 100 * time.Millisecond

// runAdvance sheds and grants waiting requests until ctx ends.
func (s *Server) runAdvance(ctx context.Context) {
	tick := time.NewTicker(advanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.gates.Advance(now)
		}
	}
}
