package gateway

import (
	"cmp"
	"context"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/quarantine"
)

const (
	// maxSends limits the number of runners tried for one request, including
	// those that refuse it or cannot be reached.
	maxSends = 4
	// minTimeLeft is the minimum time left before the deadline for sending a
	// request.
	minTimeLeft = 20 * time.Millisecond
)

// request is the state of one call while it is served.
type request struct {
	g         *Gateway
	call      *Call
	responder Responder
	open      *openRequest

	table     *catalog.Table
	route     *catalog.Route
	workspace *catalog.Workspace
	service   *catalog.Service
	// deadline is when an answer is no longer useful. due is when it misses the
	// route's latency objective.
	deadline time.Time
	due      time.Time
	// priorWait is the estimated time that the caller has spent on earlier
	// attempts.
	priorWait time.Duration

	// trials are the quarantined parts of the prompt that this request tries, with the
	// numbers of their trials.
	trials map[quarantine.Part]uint32
	stages *stageRun
	// cacheAddr is the address of a runner that may cache shared parts of the
	// prompt.
	cacheAddr string
	tried     []*placement.RunnerState
	// reserved is the runner of the next attempt, nil if none was chosen yet.
	reserved *reservedRunner
	// sends counts the runners tried, executions those of them that may have
	// executed the request.
	sends      int
	executions int

	// The remaining fields are for the log. A standby's copy of the request shares
	// the records.
	attempts     *attemptRecords
	runner       string
	status       int
	firstByteAt  time.Time
	stagesDoneAt time.Time
	resumes      int
	broken       bool
	lastCause    string
	// stopped is what a stop did to the request, "" if nothing.
	stopped stopOutcome
}

// mayExecuteAgain reports whether the route allows another runner after executions,
// which is greater than 0.
func (r *request) mayExecuteAgain(executions int) bool {
	return r.route.RetryPolicy != catalog.RetryNever && executions < r.route.MaxRunners
}

// dropBodyIfUnneeded gives the body back if the request may not be sent again after
// the runner that answers now. That one counts as executed only later.
func (r *request) dropBodyIfUnneeded() {
	if !r.mayExecuteAgain(r.executions + 1) {
		r.call.Body.Drop()
	}
}

// Refuse answers a call that is not served, because its body was not read.
func (g *Gateway) Refuse(c *Call, responder Responder, refusal *Refusal) {
	r := &request{g: g, call: c, responder: responder}
	g.metrics.recordRefusal(refusal.Reason)
	responder.Refuse(refusal)
	r.log(refusal)
}

// Serve handles one call and sends exactly one answer.
func (g *Gateway) Serve(ctx context.Context, c *Call, responder Responder) {
	r := &request{g: g, call: c, responder: responder, attempts: &attemptRecords{}}
	var closeRequest func()
	r.open, ctx, closeRequest = g.open.open(ctx, c)
	defer closeRequest()
	g.awaitConfigured(ctx, c.Timeout)
	refusal := r.admit()
	if refusal == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.deadline)
		defer cancel()
		refusal = r.run(ctx)
		r.releaseTrials()
	}
	if refusal != nil {
		// Executed covers all attempts together.
		refusal.Executed = refusal.Executed || r.executions > 0
		g.metrics.recordRefusal(refusal.Reason)
		responder.Refuse(refusal)
	}
	r.log(refusal)
	r.recordStop(refusal)
}

func (r *request) run(ctx context.Context) *Refusal {
	if refusal := r.refuseUnplaceable(); refusal != nil {
		return refusal
	}
	pieces, refusal := r.reservePieces()
	if refusal != nil {
		return refusal
	}
	defer pieces.Close()
	if refusal := r.runStages(ctx); refusal != nil {
		return refusal
	}
	defer r.freeInputs()
	defer r.dropReserved()
	r.g.budgets.forService(r.service.Name).RecordRequest(time.Now())
	for {
		now := time.Now()
		if refusal := r.refuseQuarantined(now); refusal != nil {
			return refusal
		}
		if !r.mayStart(now) {
			return r.stopRefusal()
		}
		runner := r.pickRunner(now)
		if runner == nil {
			return r.noRunnerRefusal(ctx)
		}
		if !r.open.enter(phaseSent) {
			r.g.runners.unpick(runner, r.service, &r.call.Prompt)
			return r.stopRefusal()
		}
		r.sends++
		r.runner = runner.ID
		v := r.attempt(ctx, runner)
		if v.done {
			r.recordDuration(now)
			return v.refusal
		}
		r.tried = append(r.tried, runner)
		r.lastCause = v.cause
		if v.executed {
			r.executions++
		}
		r.logAttempt(runner, &v, now)
		if ctx.Err() != nil {
			return r.contextRefusal(ctx)
		}
		if !r.mayRepeat(time.Now(), &v) {
			return r.finalRefusal(&v)
		}
		if v.inputsGone {
			if refusal := r.rerunStages(ctx); refusal != nil {
				return refusal
			}
		}
		r.g.metrics.recordRepeat(cmp.Or(v.reason, v.cause))
	}
}

// pickRunner chooses a runner that was not tried yet.
func (r *request) pickRunner(now time.Time) *placement.RunnerState {
	if runner := r.takeReserved(); runner != nil {
		return runner
	}
	var runner *placement.RunnerState
	runner, r.cacheAddr = r.g.runners.pick(now, r.query(r.tried))
	return runner
}

// attemptResult is the result of one attempt at one runner.
type attemptResult struct {
	// done reports that the caller has its answer, or that refusal is to be sent.
	done    bool
	refusal *Refusal
	// executed reports that the runner may have executed the request, arrived
	// that the runner has received it.
	executed   bool
	arrived    bool
	inputsGone bool
	// cause says for the log why the attempt failed, reason for the metrics if the
	// cause is no fixed word.
	cause  string
	reason string
}

// mayRepeat reports whether another runner may be tried. It charges the retry
// budget if the last runner has received the request.
func (r *request) mayRepeat(now time.Time, v *attemptResult) bool {
	if r.sends >= maxSends || r.deadline.Sub(now) < minTimeLeft || !r.mayStart(now) {
		return false
	}
	if r.executions > 0 && !r.mayExecuteAgain(r.executions) {
		return false
	}
	return !v.arrived || r.g.budgets.forService(r.service.Name).TrySpend(now)
}
