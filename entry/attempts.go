package entry

import (
	"context"
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/retry"
	"damaskbridge.example/damaskbridge/routing"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

// outcome is what every kind of attempt gives.
type outcome interface {
	// wire is the number of body bytes exchanged.
	wire() int
	// served is the latency that counts for routing; 0 means the whole time.
	served() time.Duration
	load() upstream.LoadReport
}

// attemptFunc makes one attempt at a runner. It calls progress when the result
// has begun to arrive.
type attemptFunc[T outcome] func(ctx context.Context, addr string, a upstream.Attempt, progress func()) (T, error)

// attemptEvent is the end of one attempt.
type attemptEvent[T outcome] struct {
	number int
	value  T
	done   attemptDone
	// choice is set if no runner could be chosen.
	choice error
}

// stageWork is what a stage's attempts have in common.
type stageWork struct {
	grant budget.Grant
	// prefix is the prompt's block chain at a generate stage.
	prefix []uint64
	// bytes is the size of what is sent, which is paid between regions.
	bytes int64
}

// driver carries out the actions of a retry.Call for one stage of one request.
// It runs on the request's goroutine; each attempt has a goroutine of its own.
type driver[T outcome] struct {
	s       *Server
	q       *request
	stage   settings.Stage
	call    *retry.Call
	run     attemptFunc[T]
	work    stageWork
	events  chan attemptEvent[T]
	begun   chan int
	cancels []context.CancelFunc
	used    []string
	value   T
	won     attemptDone
	err     error
}

// attempts runs a stage that may be repeated until one attempt wins or the
// retry policy ends it, and fills in the report.
func attempts[T outcome](ctx context.Context, s *Server, q *request, st settings.Stage, work stageWork, report *StageReport, run attemptFunc[T]) (T, error) {
	policy := s.retryPolicy(q, st, work.grant)
	d := &driver[T]{
		s: s, q: q, stage: st, run: run, work: work,
		call:   retry.NewCall(q.id, st.Name, policy, s.budgets.of(st.Pool)),
		events: make(chan attemptEvent[T], policy.MaxAttempts),
		begun:  make(chan int, policy.MaxAttempts),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.loop(ctx)
	s.countRetries(d.call.Counts())
	report.Attempts = d.call.Attempts()
	report.Upstream = d.won.upstream
	report.Region = d.won.region
	return d.value, d.err
}

func (d *driver[T]) loop(ctx context.Context) {
	d.do(ctx, d.call.Start(time.Now()))
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !d.call.Ended() {
		if at, ok := d.call.Wake(); ok {
			timer.Reset(time.Until(at))
		}
		select {
		case ev := <-d.events:
			d.do(ctx, d.take(&ev))
		case n := <-d.begun:
			d.do(ctx, d.call.Progress(n))
		case <-timer.C:
			d.do(ctx, d.call.Tick(time.Now()))
		case <-ctx.Done():
			d.do(ctx, d.call.Abandon())
			d.err = context.Cause(ctx)
		}
	}
}

// take gives the end of an attempt to the retry policy.
func (d *driver[T]) take(ev *attemptEvent[T]) []retry.Action {
	now := time.Now()
	if ev.choice != nil {
		if d.err == nil {
			d.err = ev.choice
		}
		return d.call.Fail(ev.number, retry.NoCandidate, now)
	}
	if ev.done.err != nil {
		d.err = ev.done.err
		if upstream.MayHaveStarted(ev.done.err) {
			d.call.Sent(ev.number)
		}
		return d.call.Fail(ev.number, failureOf(ev.done.err), now)
	}
	actions := d.call.Complete(retry.Result{Carrier: ev.number, ID: d.call.ID(ev.number), Valid: true}, now)
	if d.call.Winner() == ev.number {
		d.value = ev.value
		d.won = ev.done
		d.err = nil
	}
	return actions
}

func (d *driver[T]) do(ctx context.Context, actions []retry.Action) {
	for _, a := range actions {
		switch a.Kind {
		case retry.Dispatch:
			d.dispatch(ctx, a.Attempt)
		case retry.Cancel:
			d.cancels[a.Attempt-1]()
		case retry.End:
			d.end(a.Reason)
		}
	}
}

// end keeps the last attempt's error as the reason, unless there is none.
func (d *driver[T]) end(reason retry.Reason) {
	if reason == retry.DeadlineReached || reason == retry.NoTimeLeft {
		d.err = d.q.fail(problem.DeadlineExceeded, "stage %q, %s", d.stage.Name, reason)
		return
	}
	if d.err == nil {
		d.err = errors.New("stage ended: " + string(reason))
	}
}

// dispatch starts an attempt on a goroutine of its own.
func (d *driver[T]) dispatch(ctx context.Context, number int) {
	ctx, cancel := context.WithCancel(ctx)
	d.cancels = append(d.cancels, cancel)
	c := attemptCall{stage: d.stage.Name, pool: d.stage.Pool, number: number}
	c.route = routing.Request{
		Pool: d.stage.Pool, Model: d.stage.Model, Adapter: d.stage.Adapter,
		Prefix: d.work.prefix, Bytes: d.work.bytes, Excluded: d.used,
	}
	choice, err := d.s.choose(c)
	if err != nil {
		d.events <- attemptEvent[T]{number: number, choice: err}
		return
	}
	d.used = append(d.used, choice.Upstream.Address)
	go func() {
		defer cancel()
		ev := attemptEvent[T]{number: number}
		ev.done = d.s.try(ctx, d.q, c, choice, func(ctx context.Context, addr string, a upstream.Attempt) (int, time.Duration, upstream.LoadReport, error) {
			v, err := d.run(ctx, addr, a, func() { d.begun <- number })
			ev.value = v
			return v.wire(), v.served(), v.load(), err
		})
		d.events <- ev
	}()
}

// failureOf maps an attempt's error to the retry policy's failures.
func failureOf(err error) retry.Failure {
	var e *upstream.Error
	errors.As(err, &e)
	switch upstream.CauseOf(err) {
	case upstream.NotSent, upstream.Unsent, upstream.GuardFailed:
		return retry.Refused
	case upstream.Draining, upstream.Overloaded:
		return retry.NotExecuted
	case upstream.Silent:
		return retry.Stalled
	case upstream.Mismatch:
		return retry.Mismatch
	case upstream.Status:
		if e != nil && e.Status < 500 {
			return retry.Rejected
		}
		return retry.ServerError
	default:
		return retry.Broken
	}
}
