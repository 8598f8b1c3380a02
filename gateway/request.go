package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/placement"
)

const (
	// maxSends limits the number of runners tried for one request, including
	// those that refuse it or cannot be reached.
	maxSends = 4
	// minTimeLeft is the minimum time left before the deadline for sending a
	// request.
	minTimeLeft = 20 * time.Millisecond
	// maxRequestTime limits the deadline of a request, in particular if the
	// caller sent no timeout.
	maxRequestTime = time.Minute
)

// request is the state of one call while it is served.
type request struct {
	g         *Gateway
	call      *Call
	responder Responder

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

	stages *stageRun
	// cacheAddr is the address of a runner that may cache shared parts of the
	// prompt.
	cacheAddr string
	tried     []*placement.RunnerState
	// sends counts the runners tried, executions those of them that may have
	// executed the request.
	sends      int
	executions int

	// The remaining fields are for the log.
	runner       string
	status       int
	firstByteAt  time.Time
	stagesDoneAt time.Time
	resumes      int
	broken       bool
	lastCause    string
}

// Serve handles one call and sends exactly one answer.
func (g *Gateway) Serve(ctx context.Context, c *Call, responder Responder) {
	r := &request{g: g, call: c, responder: responder}
	g.awaitConfigured(ctx, c.Timeout)
	refusal := r.admit()
	if refusal == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.deadline)
		defer cancel()
		refusal = r.run(ctx)
	}
	if refusal != nil {
		// Executed covers all attempts together.
		refusal.Executed = refusal.Executed || r.executions > 0
		g.metrics.recordRefusal(refusal.Reason)
		responder.Refuse(refusal)
	}
	r.log(refusal)
}

// admit finds the route, the workspace and the service, and sets the deadlines.
func (r *request) admit() *Refusal {
	c := r.call
	r.table = r.g.state.Load().Table
	if r.table == nil {
		return &Refusal{Reason: NoCatalog, RetryAfter: shortRetryDelay()}
	}
	if r.route = r.table.Route(c.Host, c.Path); r.route == nil {
		return &Refusal{Reason: NoRoute, Detail: c.Host + c.Path}
	}
	if r.table.NeedsKeys() && c.Key != "" {
		r.workspace = r.table.WorkspaceOf(c.Key)
	}
	if r.table.NeedsKeys() && !r.route.Public && r.workspace == nil {
		return &Refusal{Reason: UnknownKey}
	}
	if r.g.stopping.Load() && r.route.Streaming {
		return &Refusal{Reason: Stopping, RetryAfter: shortRetryDelay()}
	}
	if refusal := r.refuseQuarantined(time.Now()); refusal != nil {
		return refusal
	}
	r.service = r.table.Service(r.route.Pick(rand.Float64()))
	timeout := r.route.Timeout
	if c.Timeout > 0 {
		timeout = min(timeout, c.Timeout)
	}
	r.deadline = c.Received.Add(min(timeout, maxRequestTime))
	r.priorWait = r.g.callerTimeouts.priorWait(r.route.Name, c.Timeout)
	r.due = c.Received.Add(r.route.LatencyObjective - r.priorWait)
	return nil
}

// isFirstAttempt reports whether this is probably the caller's first attempt.
func (r *request) isFirstAttempt() bool { return r.priorWait == 0 }

// Callers abandon a stream without any event after the longest of these times.
const (
	minFirstEventTimeout = 2 * time.Second
	objectiveFactor      = 4
	eventGapFactor       = 8
)

// firstEventDeadline returns when the caller of a stream without any event
// disconnects.
func (r *request) firstEventDeadline() time.Time {
	if !r.route.Streaming {
		return r.deadline
	}
	timeout := max(minFirstEventTimeout, objectiveFactor*r.route.LatencyObjective, eventGapFactor*r.route.MaxEventGap)
	if by := r.call.Received.Add(timeout); by.Before(r.deadline) {
		return by
	}
	return r.deadline
}

func (r *request) run(ctx context.Context) *Refusal {
	if refusal := r.runStages(ctx); refusal != nil {
		return refusal
	}
	defer r.freeInputs()
	r.g.budgets.forService(r.service.Name).RecordRequest(time.Now())
	for {
		now := time.Now()
		if refusal := r.refuseQuarantined(now); refusal != nil {
			return refusal
		}
		runner := r.pickRunner(now)
		if runner == nil {
			return r.noRunnerRefusal(ctx)
		}
		r.sends++
		r.runner = runner.ID
		v := r.attempt(ctx, runner)
		if v.done {
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
		r.g.metrics.recordRepeat(v.cause)
	}
}

func (r *request) pickRunner(now time.Time) *placement.RunnerState {
	if r.service.Engine != nil {
		var runner *placement.RunnerState
		runner, r.cacheAddr = r.g.runners.pickEngine(now, r.service.Name, &r.call.Prompt, r.tried)
		return runner
	}
	return r.g.runners.pickLeastLoaded(now, r.service.Name, r.tried)
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
	// counted reports that this execution is already included in
	// request.executions.
	counted bool
	cause   string
}

// mayRepeat reports whether another runner may be tried. It charges the retry
// budget if the last runner has received the request.
func (r *request) mayRepeat(now time.Time, v *attemptResult) bool {
	if r.sends >= maxSends || r.deadline.Sub(now) < minTimeLeft {
		return false
	}
	if r.executions > 0 && (r.route.RetryPolicy == catalog.RetryNever || r.executions >= r.route.MaxRunners) {
		return false
	}
	return !v.arrived || r.g.budgets.forService(r.service.Name).TrySpend(now)
}

// finalRefusal returns the refusal after the last attempt.
func (r *request) finalRefusal(v *attemptResult) *Refusal {
	if r.executions > 0 {
		return &Refusal{Reason: AnswerLost, Executed: true, Detail: v.cause}
	}
	reason := Unreachable
	if v.arrived {
		reason = RunnersFull
	}
	return &Refusal{Reason: reason, RetryAfter: shortRetryDelay(), Detail: v.cause}
}

// contextRefusal returns the refusal for a request whose context has ended.
func (r *request) contextRefusal(ctx context.Context) *Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &Refusal{Reason: TimedOut, Executed: r.executions > 0, Detail: r.lastCause}
	}
	return &Refusal{Reason: CallerLeft, Executed: r.executions > 0, Detail: r.lastCause}
}

func (r *request) noRunnerRefusal(ctx context.Context) *Refusal {
	if ctx.Err() != nil {
		return r.contextRefusal(ctx)
	}
	if r.executions > 0 {
		return &Refusal{Reason: AnswerLost, Executed: true, Detail: r.lastCause}
	}
	if r.sends > 0 {
		return &Refusal{Reason: RunnersFull, RetryAfter: shortRetryDelay(), Detail: r.lastCause}
	}
	return &Refusal{Reason: NoRunner, RetryAfter: shortRetryDelay(), Detail: r.service.Name}
}

// newDispatch returns the request as it is sent to a runner.
func (r *request) newDispatch(runner *placement.RunnerState, now time.Time) *Dispatch {
	d := &Dispatch{
		Call: r.call, RunnerID: runner.ID, Addr: runner.Addr,
		TimeLeft:      r.deadline.Sub(now),
		ResumeAfter:   r.call.ResumeAfter,
		MaxIdleConns:  r.g.maxIdleConns(r.service),
		NewConnection: r.route.RetryPolicy == catalog.RetryNever && !r.route.Streaming,
	}
	if r.workspace != nil {
		d.Workspace = r.workspace.Name
	}
	if r.service.Engine != nil {
		d.HasPriority = true
		d.Priority = r.priority()
		d.CacheAddr = r.cacheAddr
	}
	if r.stages != nil {
		d.HasInputs = true
		d.Inputs = r.stages.inputs()
	}
	return d
}

// priority returns the priority of the request. That of the workspace takes
// precedence over that of the route.
func (r *request) priority() int {
	if r.workspace != nil && r.workspace.HasPriority {
		return r.workspace.Priority
	}
	return r.route.Priority
}

// Each priority level delays a request's stages by a fixed time in the queues.
// Urgent requests overtake others only within that time, because a strict order
// would starve the lowest priority.
const (
	yieldPerPriority = 600 * time.Millisecond
	// yieldPerRoutePriority orders the routes within one workspace.
	yieldPerRoutePriority = 200 * time.Millisecond
)

// stageYield returns how long the request's stages yield to others that are
// due.
func (r *request) stageYield() time.Duration {
	if r.workspace != nil && r.workspace.HasPriority {
		return time.Duration(r.workspace.Priority)*yieldPerPriority + time.Duration(r.route.Priority)*yieldPerRoutePriority
	}
	return time.Duration(r.route.Priority) * yieldPerPriority
}

const (
	shortRetryMin    = 200 * time.Millisecond
	shortRetryJitter = 400 * time.Millisecond
)

// shortRetryDelay returns a randomized delay for callers that another VM, or
// this one a moment later, can serve.
func shortRetryDelay() time.Duration {
	return shortRetryMin + rand.N(shortRetryJitter)
}

const (
	lateStageRetryMin    = 700 * time.Millisecond
	lateStageRetryJitter = 800 * time.Millisecond
)

// lateStageRetryDelay returns a randomized delay that spreads the callers of an
// overloaded stage over the time in which it recovers from a short peak.
func lateStageRetryDelay() time.Duration {
	return lateStageRetryMin + rand.N(lateStageRetryJitter)
}

func (r *request) log(refusal *Refusal) {
	now := time.Now()
	event := r.g.log.Info()
	event.Str("id", r.call.ID)
	if r.table != nil {
		event.Uint64("version", r.table.Version)
	}
	if r.route != nil {
		event.Str("route", r.route.Name)
	}
	if !r.deadline.IsZero() {
		event.Int64("deadline_ms", r.deadline.Sub(r.call.Received).Milliseconds())
	}
	if r.service != nil {
		event.Str("service", r.service.Name)
	}
	if r.workspace != nil {
		event.Str("workspace", r.workspace.Name)
	}
	if !r.stagesDoneAt.IsZero() {
		event.Int64("staged_ms", r.stagesDoneAt.Sub(r.call.Received).Milliseconds())
	}
	if !r.firstByteAt.IsZero() {
		event.Int64("first_ms", r.firstByteAt.Sub(r.call.Received).Milliseconds())
	}
	if r.sends > 0 {
		event.Str("runner", r.runner).Int("sends", r.sends).Int("executions", r.executions)
	}
	if r.resumes > 0 {
		event.Int("resumed", r.resumes)
	}
	switch {
	case refusal != nil:
		event.Str("outcome", "refused").Str("reason", string(refusal.Reason)).Bool("executed", refusal.Executed).
			Int64("retry_after_ms", refusal.RetryAfter.Milliseconds()).Str("detail", refusal.Detail)
	case r.broken:
		event.Str("outcome", "broken").Str("detail", r.lastCause)
	default:
		event.Str("outcome", "answered").Int("status", r.status)
	}
	event.Int64("ms", now.Sub(r.call.Received).Milliseconds()).Msg("gateway: request ended")
}

func (r *request) logAttempt(runner *placement.RunnerState, v *attemptResult, began time.Time) {
	r.g.log.Info().Str("id", r.call.ID).Str("runner", runner.ID).Str("addr", runner.Addr).Str("cause", v.cause).
		Bool("executed", v.executed).Bool("arrived", v.arrived).Strs("parts", r.call.Prompt.SharedIDs()).Int64("ms", time.Since(began).Milliseconds()).
		Msg("gateway: attempt failed")
}
