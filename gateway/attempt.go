package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/exchange"
	"damaskbridge.example/damaskbridge/execution"
	"damaskbridge.example/damaskbridge/placement"
)

const (
	// maxDrainedBytes is how much of a refusal's body is read so that its
	// connection can be used again.
	maxDrainedBytes = 64 << 10
	// hangTimeoutFactor times the route's objective is how long a buffered
	// request that may be repeated waits for one runner before another one is
	// tried.
	hangTimeoutFactor = 1.2
)

// attempt sends the request to one runner and relays the answer.
func (r *request) attempt(ctx context.Context, runner *placement.RunnerState) attemptResult {
	if r.route.Streaming {
		return r.attemptStream(ctx, runner)
	}
	if r.route.RetryPolicy != catalog.RetryAlways || r.executions+1 >= r.route.MaxRunners {
		return r.attemptBuffered(ctx, runner)
	}
	return r.attemptWithTimeout(ctx, runner)
}

// attemptWithTimeout is attemptBuffered with a timeout: it cancels the attempt
// at a silent runner once another one is reserved for the next attempt. Without
// another one the silent runner may still answer.
func (r *request) attemptWithTimeout(ctx context.Context, runner *placement.RunnerState) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.Duration(hangTimeoutFactor * float64(r.route.LatencyObjective))
	tried := append(slices.Clip(r.tried), runner)
	next := make(chan *reservedRunner, 1)
	timer := time.AfterFunc(limit, func() {
		reserved := r.reserveRunner(tried)
		if reserved != nil {
			cancel()
		}
		next <- reserved
	})
	v := r.attemptBuffered(ctx, runner)
	if timer.Stop() {
		return v
	}
	r.reserved = <-next
	if r.reserved == nil || v.done {
		return v
	}
	// The retry budget is charged already; run must not charge it again.
	v.arrived, v.cause, v.reason = false, "hanging", ""
	return v
}

// reservedRunner is a runner that was chosen for the next attempt.
type reservedRunner struct {
	runner    *placement.RunnerState
	cacheAddr string
}

// reserveRunner chooses a runner for another attempt and charges the retry
// budget. It returns nil if there is none or no time or budget is left.
func (r *request) reserveRunner(tried []*placement.RunnerState) *reservedRunner {
	now := time.Now()
	if r.deadline.Sub(now) <= minTimeLeft || !r.mayStart(now) {
		return nil
	}
	reserved := &reservedRunner{}
	reserved.runner, reserved.cacheAddr = r.g.runners.pick(now, r.query(tried))
	if reserved.runner == nil {
		return nil
	}
	if !r.g.budgets.forService(r.service.Name).TrySpend(now) {
		r.g.runners.unpick(reserved.runner, r.service, &r.call.Prompt)
		return nil
	}
	return reserved
}

// takeReserved returns the runner that was reserved for this attempt, or nil.
func (r *request) takeReserved() *placement.RunnerState {
	if r.reserved == nil {
		return nil
	}
	runner := r.reserved.runner
	r.cacheAddr, r.reserved = r.reserved.cacheAddr, nil
	return runner
}

// dropReserved gives up a reserved runner to which nothing was sent.
func (r *request) dropReserved() {
	if runner := r.takeReserved(); runner != nil {
		r.g.runners.unpick(runner, r.service, &r.call.Prompt)
	}
}

// attemptBuffered reads the whole answer before it relays any of it.
func (r *request) attemptBuffered(ctx context.Context, runner *placement.RunnerState) attemptResult {
	if r.service.Engine != nil {
		defer r.g.runners.prefillDone(runner, r.call.Prompt.Tokens)
	}
	response, v := r.send(ctx, runner, r.newDispatch(runner, time.Now()))
	if response == nil {
		r.g.runners.finish(runner, v.record)
		return v.attemptResult
	}
	return r.relayBuffered(ctx, runner, response)
}

// sendResult is the result of an attempt together with the update that it
// implies for the state of the runner.
type sendResult struct {
	attemptResult
	record func(*placement.RunnerState)
}

// send dispatches d. It returns a nil Response if the request failed, its answer
// must not be passed on, or the runner did not execute it.
func (r *request) send(ctx context.Context, runner *placement.RunnerState, d *Dispatch) (*Response, sendResult) {
	record := r.attempts.begin(runner.ID, r.call.Received)
	d.OnStep, d.OnConnection = record.recordStep, record.recordConnection
	response, err := r.g.opts.Upstreams.Send(ctx, d)
	if err != nil {
		record.conclude(r.g.metrics, execution.ConcludeError(exchange.WasSent(err)))
		return nil, r.failedSend(ctx, runner, record, err)
	}
	response.record = record
	r.observe(runner, record, headFinding(response))
	r.g.recordAdvice(runner.Addr, r.g.runners.startOf(runner), response.Advice)
	r.g.runners.updateLoad(runner, response.Load)
	if !response.Conclusion.NotExecuted() {
		if err := response.checkProof(); err != nil {
			record.conclude(r.g.metrics, execution.Unproved)
			return nil, r.damagedAnswer(ctx, runner, response, err)
		}
		record.conclude(r.g.metrics, response.Conclusion)
		r.dropBodyIfUnneeded()
		if err := r.g.countHead(response); err != nil {
			return nil, r.failedSend(ctx, runner, record, &exchange.Error{Addr: runner.Addr, Sent: true, ResponseStarted: true, Err: err})
		}
		return response, sendResult{}
	}
	record.conclude(r.g.metrics, response.Conclusion)
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainedBytes))
	n := sendResult{attemptResult: attemptResult{arrived: true, cause: "refused_" + http.StatusText(response.Status)}}
	now := time.Now()
	switch {
	case response.Conclusion == execution.Misdirected:
		n.cause = "misdirected"
		n.record = func(s *placement.RunnerState) { s.RecordMisdirected(now) }
	case response.Status == http.StatusConflict:
		n.inputsGone = true
		n.cause = "inputs_gone"
	default:
		n.record = func(s *placement.RunnerState) { s.RecordFull(now) }
	}
	return nil, n
}

// failedSend classifies an attempt that ended without a complete answer.
func (r *request) failedSend(ctx context.Context, runner *placement.RunnerState, record *attemptRecord, err error) sendResult {
	n := sendResult{attemptResult: attemptResult{executed: exchange.WasSent(err), cause: err.Error(), reason: "not_sent"}}
	n.arrived = n.executed
	if n.executed {
		n.reason = "lost"
	}
	r.observe(runner, record, failureFinding(ctx, n.executed, err))
	if ctx.Err() == nil {
		now := time.Now()
		n.record = func(s *placement.RunnerState) { s.RecordFailure(now) }
	}
	return n
}

// relayBuffered reads the answer and relays it, unless it is incomplete or is a
// server error and another runner may be tried.
func (r *request) relayBuffered(ctx context.Context, runner *placement.RunnerState, response *Response) attemptResult {
	body, release, err := r.g.answers.readAll(response.Body)
	defer release()
	_ = response.Body.Close()
	if err != nil {
		response.record.conclude(r.g.metrics, execution.Damaged)
		n := r.failedSend(ctx, runner, response.record, &exchange.Error{Addr: runner.Addr, Sent: true, ResponseStarted: true, Err: err})
		r.g.runners.finish(runner, n.record)
		return n.attemptResult
	}
	r.g.runners.finish(runner, (*placement.RunnerState).RecordSuccess)
	r.observe(runner, response.record, endFinding(response))
	v := attemptResult{executed: true, arrived: true, cause: "status"}
	if response.Status >= http.StatusInternalServerError {
		r.executions++
		repeat := r.mayRepeat(time.Now(), &v)
		r.executions--
		if repeat {
			// mayRepeat has charged the repeat; run must not charge it again.
			v.arrived = false
			return v
		}
	}
	r.firstByteAt = time.Now()
	r.status = response.Status
	r.executions++
	r.g.metrics.recordAnswer(response.Status)
	r.g.metrics.recordFirstByte(r.call.Received)
	if err := r.responder.Respond(response.Status, response.Header, body); err != nil {
		r.broken, r.lastCause = true, err.Error()
	}
	return attemptResult{done: true}
}
