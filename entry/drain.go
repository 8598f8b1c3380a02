package entry

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/problem"
)

// errDrainOver is the cause with which a drain cancels executions.
var errDrainOver = errors.New("entry: the VM shuts down; send the request to another entry VM")

// drainRetryDelay is when a request that another VM can serve at once is sent again.
const drainRetryDelay = 50 * time.Millisecond

// drainState is what requests need to know about a drain. It is safe for
// concurrent use.
type drainState struct {
	// plan is nil unless the VM drains.
	plan atomic.Pointer[drainPlan]
	// requests ends when executions are cancelled, answers when nothing may wait
	// for them any more.
	requests    context.Context
	endRequests context.CancelFunc
	answers     context.Context
	endAnswers  context.CancelFunc
}

func newDrainState() *drainState {
	d := &drainState{}
	d.requests, d.endRequests = context.WithCancel(context.Background())
	d.answers, d.endAnswers = context.WithCancel(context.Background())
	return d
}

// Drain shuts the VM down without interrupting requests. It reports not ready,
// keeps serving for DrainDelay while the load balancer notices, then closes the
// listener, waits for running requests, flushes the audit records and closes
// the session. Requests that may not end in time are refused, and those that have
// not ended shortly before DrainTimeout is over are cancelled and answered. It
// stops waiting after DrainTimeout or when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	plan := s.beginDrain(time.Now())
	ctx, cancel := context.WithDeadline(ctx, plan.end)
	defer cancel()
	select {
	case <-time.After(time.Until(plan.listenerCloses)):
	case <-ctx.Done():
	}
	connsCtx, cancelConns := context.WithDeadline(ctx, plan.connsClose)
	defer cancelConns()
	err := s.callers.Shutdown(connsCtx)
	running := s.waitRunning(connsCtx)
	err = errors.Join(err, running, s.opts.Audit.Flush(ctx))
	if running == nil {
		// The session of a VM with running requests expires, so that the ledger
		// does not take their claims for unused.
		err = errors.Join(err, s.subscriber.closeSession(ctx))
	}
	s.Close()
	if err != nil {
		return fmt.Errorf("entry: drain: %w", err)
	}
	s.log.Info().Msg("entry: drained")
	return nil
}

// beginDrain makes the VM report not ready and schedules the end of its requests.
func (s *Server) beginDrain(now time.Time) *drainPlan {
	plan := newDrainPlan(now, s.opts.DrainDelay, s.opts.DrainTimeout)
	s.drain.plan.Store(&plan)
	s.subscriber.draining.Store(true)
	s.callers.DisableKeepAlive()
	s.log.Info().Msg("entry: draining")
	time.AfterFunc(time.Until(plan.requestsEnd), s.drain.endRequests)
	time.AfterFunc(time.Until(plan.answersEnd), s.drain.endAnswers)
	return &plan
}

// isDraining reports whether Drain was called.
func (s *Server) isDraining() bool { return s.drain.plan.Load() != nil }

// refuseDraining returns a problem if the VM drains and the request may not end
// before that is over.
func (s *Server) refuseDraining(req *request, repeatable bool) error {
	plan := s.drain.plan.Load()
	if plan == nil || plan.mayBegin(time.Now(), req.deadline, repeatable) {
		return nil
	}
	return s.drainProblem(req)
}

// drainProblem returns the problem of a request that a drain refuses or cancels.
// One of which nothing ran can be sent to another VM at once.
func (s *Server) drainProblem(req *request) *problem.Problem {
	p := req.problemf(problem.Draining, "%v", errDrainOver).WithRetryAfter(drainRetryDelay)
	if p.Execution != problem.NotRun {
		p = req.problemf(problem.OutcomeUnknown, "%v", errDrainOver)
	}
	s.log.Info().Stringer("request", req.id).Str("target", req.target).Str("reason", string(p.Reason)).Str("execution", string(p.Execution)).
		Msg("entry: request refused or cancelled by a drain")
	return p
}

// untilDrainOver returns a context that a drain cancels with errDrainOver.
func (s *Server) untilDrainOver(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.drain.requests, func() { cancel(errDrainOver) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isDrainOver reports whether a drain has cancelled ctx.
func isDrainOver(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errDrainOver) }

func (s *Server) waitRunning(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("requests are still running: %w", ctx.Err())
	}
}
