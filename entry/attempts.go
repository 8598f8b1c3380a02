package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/retry"
	"damaskbridge.example/damaskbridge/routing"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

// attemptResult is the result of an attempt at any kind of stage.
type attemptResult interface {
	// wireBytes returns the number of body bytes exchanged.
	wireBytes() int
	// latency returns the latency that counts for routing; 0 means the duration
	// of the whole attempt.
	latency() time.Duration
	loadReport() upstream.LoadReport
}

// attemptFunc makes one attempt at a runner. It signals when the result begins to
// arrive, and when the runner is silent.
type attemptFunc[T attemptResult] func(ctx context.Context, addr string, a upstream.Attempt, signal signalFunc) (T, error)

// attemptEvent is the end of one attempt.
type attemptEvent[T attemptResult] struct {
	number  int
	result  T
	summary attemptSummary
	// routeErr is set if no runner could be chosen.
	routeErr error
}

// stageParams holds the parameters shared by all attempts at a stage.
type stageParams struct {
	grant budget.Grant
	// prefix is the chain of prompt block hashes of a generate stage.
	prefix []uint64
	// bytes is the request size, which routing counts as cost between regions.
	bytes int64
}

// attemptDriver executes the actions of a retry.Call for one stage of one
// request. It runs on the request's goroutine; each attempt runs on its own.
type attemptDriver[T attemptResult] struct {
	s       *Server
	req     *request
	stage   settings.Stage
	call    *retry.Call
	attempt attemptFunc[T]
	params  stageParams
	events  chan attemptEvent[T]
	// signals is unbuffered, so that an attempt's reports are handled before its
	// end.
	signals chan attemptSignal
	cancels []context.CancelCauseFunc
	// tried holds the addresses of the runners of earlier attempts.
	tried  []string
	result T
	winner attemptSummary
	err    error
}

// runAttempts runs a repeatable stage until one attempt wins or the retry policy
// ends it. It fills in the report and returns the winner's result.
func runAttempts[T attemptResult](ctx context.Context, s *Server, req *request, stage settings.Stage, params stageParams, report *StageReport, attempt attemptFunc[T]) (T, error) {
	policy := s.retryPolicy(req, stage, params.grant)
	d := &attemptDriver[T]{
		s: s, req: req, stage: stage, attempt: attempt, params: params,
		call:    retry.NewCall(req.id, stage.Name, policy, s.retryBudgets.forPool(stage.Pool)),
		events:  make(chan attemptEvent[T], policy.MaxAttempts),
		signals: make(chan attemptSignal),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.run(ctx)
	s.countRetries(d.call.Counts())
	report.Attempts = d.call.Attempts()
	report.Upstream = d.winner.address
	report.Region = d.winner.region
	return d.result, d.err
}

func (d *attemptDriver[T]) run(ctx context.Context) {
	d.apply(ctx, d.call.Start(time.Now()))
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !d.call.Ended() {
		if at, ok := d.call.NextTick(); ok {
			timer.Reset(time.Until(at))
		}
		select {
		case ev := <-d.events:
			d.apply(ctx, d.handleEnd(&ev))
		case signal := <-d.signals:
			d.apply(ctx, d.handleSignal(signal))
		case <-timer.C:
			d.apply(ctx, d.call.Tick(time.Now()))
		case <-ctx.Done():
			d.apply(ctx, d.call.Abandon())
			d.err = context.Cause(ctx)
		}
	}
}

// handleEnd passes the end of an attempt to the retry policy and returns the
// actions to apply.
func (d *attemptDriver[T]) handleEnd(ev *attemptEvent[T]) []retry.Action {
	now := time.Now()
	if ev.routeErr != nil {
		if d.err == nil {
			d.err = ev.routeErr
		}
		return d.call.Fail(ev.number, retry.NoCandidate, now)
	}
	if ev.summary.err != nil {
		d.err = ev.summary.err
		if upstream.MayHaveStarted(ev.summary.err) {
			d.call.Sent(ev.number)
		}
		return d.call.Fail(ev.number, retryFailure(ev.summary.err), now)
	}
	actions := d.call.Complete(retry.Result{ReceivedOn: ev.number, ID: d.call.AttemptID(ev.number), Valid: true}, now)
	if d.call.Winner() == ev.number {
		d.result = ev.result
		d.winner = ev.summary
		d.err = nil
	}
	return actions
}

func (d *attemptDriver[T]) apply(ctx context.Context, actions []retry.Action) {
	for _, a := range actions {
		switch a.Kind {
		case retry.Dispatch:
			d.dispatch(ctx, a.Attempt)
		case retry.Cancel:
			d.cancels[a.Attempt-1](cancelCause(a.Reason))
		case retry.End:
			d.setEndError(a.Reason)
		}
	}
}

// setEndError sets the error of a stage that ended without a winner. The last
// attempt's error takes precedence, unless the deadline ended the stage.
func (d *attemptDriver[T]) setEndError(reason retry.Reason) {
	if reason == retry.DeadlineReached || reason == retry.NoTimeLeft {
		d.err = d.req.problemf(problem.DeadlineExceeded, "stage %q, %s", d.stage.Name, reason)
		return
	}
	if d.err == nil {
		d.err = errors.New("stage ended: " + string(reason))
	}
}

// dispatch starts an attempt on its own goroutine.
func (d *attemptDriver[T]) dispatch(ctx context.Context, number int) {
	ctx, cancel := context.WithCancelCause(ctx)
	d.cancels = append(d.cancels, cancel)
	spec := attemptSpec{stage: d.stage.Name, pool: d.stage.Pool, number: number}
	spec.route = routing.Request{
		Pool: d.stage.Pool, Model: d.stage.Model, Adapter: d.stage.Adapter,
		Prefix: d.params.prefix, Bytes: d.params.bytes, Excluded: d.tried, Allowed: d.req.allowedRegions(),
	}
	choice, err := d.s.chooseRunner(spec)
	if err != nil {
		d.events <- attemptEvent[T]{number: number, routeErr: err}
		return
	}
	signal := d.signaler(ctx, number)
	// A runner that is asked again over a new connection takes nothing over.
	again := slices.Contains(d.tried, choice.Upstream.Address)
	d.tried = append(d.tried, choice.Upstream.Address)
	go func() {
		defer cancel(nil)
		ev := attemptEvent[T]{number: number}
		ev.summary = d.s.runAttempt(ctx, d.req, spec, choice, func(ctx context.Context, addr string, a upstream.Attempt) (int, time.Duration, upstream.LoadReport, error) {
			if !again {
				a.OnWritten = func() { signal(signalDelivered) }
			}
			a.OnSilent = func() { signal(signalStalled) }
			result, err := d.attempt(ctx, addr, a, signal)
			ev.result = result
			return result.wireBytes(), result.latency(), result.loadReport(), attemptError(ctx, addr, err)
		})
		d.events <- ev
	}()
}

// retryFailure maps an attempt's error to a failure of the retry policy.
func retryFailure(err error) retry.Failure {
	var e *upstream.Error
	errors.As(err, &e)
	switch upstream.CauseOf(err) {
	case upstream.NotSent, upstream.CancelledBeforeSend, upstream.GuardFailed:
		return retry.Refused
	case upstream.Draining, upstream.Overloaded:
		return retry.NotExecuted
	case upstream.ResponseMismatch:
		return retry.Mismatch
	case upstream.ErrorStatus:
		if e != nil && e.Status < 500 {
			return retry.Rejected
		}
		return retry.ServerError
	default:
		return retry.Broken
	}
}
