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
	// maxSends bounds the runners that are tried for one request, with those
	// that refuse or cannot be reached.
	maxSends = 4
	// minLeft is the least time with which a request is sent.
	minLeft = 20 * time.Millisecond
	// defaultPatience bounds a caller that names no time.
	defaultPatience = time.Minute
)

// request is one call on its way.
type request struct {
	g    *Gateway
	call *Call
	out  Responder

	table     *catalog.Table
	route     *catalog.Route
	workspace *catalog.Workspace
	service   *catalog.Service
	// deadline is when an answer is of no use any more, due when it is late.
	deadline time.Time
	due      time.Time
	// waited is the time that the caller has probably spent on earlier
	// attempts.
	waited time.Duration

	stages *stageRun
	// fetchFrom is a runner that may keep shared parts of the prompt.
	fetchFrom string
	tried     []*placement.Entry
	// sends counts the runners tried, executions those that may have run it.
	sends      int
	executions int

	// The rest is for the log.
	runner   string
	status   int
	firstAt  time.Time
	stagedAt time.Time
	resumed  int
	broken   bool
	last     string
}

// Serve answers one call.
func (g *Gateway) Serve(ctx context.Context, c *Call, out Responder) {
	r := &request{g: g, call: c, out: out}
	g.awaitKnown(ctx, c.Patience)
	refusal := r.admit()
	if refusal == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.deadline)
		defer cancel()
		refusal = r.run(ctx)
	}
	if refusal != nil {
		// A promise that nothing ran holds for all attempts together.
		refusal.Executed = refusal.Executed || r.executions > 0
		g.count.refused(refusal.Reason)
		out.Refuse(refusal)
	}
	r.log(refusal)
}

// admit finds the route and the workspace.
func (r *request) admit() *Refusal {
	c := r.call
	r.table = r.g.state.Load().Table
	if r.table == nil {
		return &Refusal{Reason: NoCatalog, RetryAfter: shortRetry()}
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
		return &Refusal{Reason: Stopping, RetryAfter: shortRetry()}
	}
	r.service = r.table.Service(r.route.Pick(rand.Float64()))
	patience := r.route.Timeout
	if c.Patience > 0 {
		patience = min(patience, c.Patience)
	}
	r.deadline = c.Received.Add(min(patience, defaultPatience))
	r.waited = r.g.patience.waited(r.route.Name, c.Patience)
	r.due = c.Received.Add(r.route.Objective - r.waited)
	return nil
}

// isFirst says that this is probably the caller's first attempt.
func (r *request) isFirst() bool { return r.waited == 0 }

// Callers abandon a stream that gives no event for the longest of these times.
const (
	leastGap        = 2 * time.Second
	gapPerObjective = 4
	gapPerPause     = 8
)

// firstBy is when the caller of a stream without an event leaves.
func (r *request) firstBy() time.Time {
	if !r.route.Streaming {
		return r.deadline
	}
	gap := max(leastGap, gapPerObjective*r.route.Objective, gapPerPause*r.route.MaxEventGap)
	if by := r.call.Received.Add(gap); by.Before(r.deadline) {
		return by
	}
	return r.deadline
}

func (r *request) run(ctx context.Context) *Refusal {
	if refusal := r.runStages(ctx); refusal != nil {
		return refusal
	}
	defer r.freeInputs()
	r.g.budgets.of(r.service.Name).Request(time.Now())
	for {
		now := time.Now()
		entry := r.pick(now)
		if entry == nil {
			return r.noRunner(ctx)
		}
		r.sends++
		r.runner = entry.ID
		v := r.attempt(ctx, entry)
		if v.done {
			return v.refusal
		}
		r.tried = append(r.tried, entry)
		r.last = v.cause
		if v.executed {
			r.executions++
		}
		r.logAttempt(entry, &v, now)
		if ctx.Err() != nil {
			return r.ended(ctx)
		}
		if !r.mayRepeat(time.Now(), &v) {
			return r.giveUp(&v)
		}
		if v.inputsGone {
			if refusal := r.stageAgain(ctx); refusal != nil {
				return refusal
			}
		}
		r.g.count.repeated(v.cause)
	}
}

func (r *request) pick(now time.Time) *placement.Entry {
	if r.service.Engine != nil {
		var entry *placement.Entry
		entry, r.fetchFrom = r.g.runners.pickEngine(now, r.service.Name, &r.call.Prompt, r.tried)
		return entry
	}
	return r.g.runners.pickPlain(now, r.service.Name, r.tried)
}

// verdict is the end of one attempt at one runner.
type verdict struct {
	// done says that the caller has its answer, or that refusal is to be sent.
	done    bool
	refusal *Refusal
	// executed says that the runner may have run the request, arrived that it
	// has seen it.
	executed   bool
	arrived    bool
	inputsGone bool
	// counted says that the request's executions hold this one.
	counted bool
	cause   string
}

// mayRepeat says whether another runner may be tried.
func (r *request) mayRepeat(now time.Time, v *verdict) bool {
	if r.sends >= maxSends || r.deadline.Sub(now) < minLeft {
		return false
	}
	if r.executions > 0 && (r.route.Repeat == catalog.RepeatNever || r.executions >= r.route.MaxRunners) {
		return false
	}
	return !v.arrived || r.g.budgets.of(r.service.Name).Spend(now)
}

// giveUp gives the refusal after the last attempt.
func (r *request) giveUp(v *verdict) *Refusal {
	if r.executions > 0 {
		return &Refusal{Reason: Lost, Executed: true, Detail: v.cause}
	}
	reason := Unreachable
	if v.arrived {
		reason = RunnersFull
	}
	return &Refusal{Reason: reason, RetryAfter: shortRetry(), Detail: v.cause}
}

// ended gives the refusal for a request whose time is over.
func (r *request) ended(ctx context.Context) *Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &Refusal{Reason: TimedOut, Executed: r.executions > 0, Detail: r.last}
	}
	return &Refusal{Reason: Left, Executed: r.executions > 0, Detail: r.last}
}

func (r *request) noRunner(ctx context.Context) *Refusal {
	if ctx.Err() != nil {
		return r.ended(ctx)
	}
	if r.executions > 0 {
		return &Refusal{Reason: Lost, Executed: true, Detail: r.last}
	}
	if r.sends > 0 {
		return &Refusal{Reason: RunnersFull, RetryAfter: shortRetry(), Detail: r.last}
	}
	return &Refusal{Reason: NoRunner, RetryAfter: shortRetry(), Detail: r.service.Name}
}

// dispatch gives what is sent to a runner.
func (r *request) dispatch(entry *placement.Entry, now time.Time) *Dispatch {
	d := &Dispatch{
		Call: r.call, RunnerID: entry.ID, Addr: entry.Addr,
		Left:        r.deadline.Sub(now),
		ResumeAfter: r.call.ResumeAfter,
		MaxIdle:     r.g.idleShare(r.service),
		Fresh:       r.route.Repeat == catalog.RepeatNever && !r.route.Streaming,
	}
	if r.workspace != nil {
		d.Workspace = r.workspace.Name
	}
	if r.service.Engine != nil {
		d.HasPriority = true
		d.Priority = r.priority()
		d.FetchFrom = r.fetchFrom
	}
	if r.stages != nil {
		d.HasInputs = true
		d.Inputs = r.stages.inputs()
	}
	return d
}

// priority ranks the request; the workspace's rank goes before the route's.
func (r *request) priority() int {
	if r.workspace != nil && r.workspace.HasPriority {
		return r.workspace.Priority
	}
	return r.route.Priority
}

// Ranks move a request's stages back in the queues by some time each. Urgent
// requests overtake others within their time; a strict order would starve the
// last rank.
const (
	yieldPerRank = 600 * time.Millisecond
	// yieldPerRouteRank tells the kinds of requests of one workspace apart.
	yieldPerRouteRank = 200 * time.Millisecond
)

// yields is how long the request's stages give way to others that are due.
func (r *request) yields() time.Duration {
	if r.workspace != nil && r.workspace.HasPriority {
		return time.Duration(r.workspace.Priority)*yieldPerRank + time.Duration(r.route.Priority)*yieldPerRouteRank
	}
	return time.Duration(r.route.Priority) * yieldPerRank
}

const (
	shortRetryLeast  = 200 * time.Millisecond
	shortRetrySpread = 400 * time.Millisecond
)

// shortRetry spreads callers that another VM or a moment later can serve.
func shortRetry() time.Duration {
	return shortRetryLeast + rand.N(shortRetrySpread)
}

const (
	lateRetryLeast  = 700 * time.Millisecond
	lateRetrySpread = 800 * time.Millisecond
)

// lateRetry spreads the callers of an overloaded stage over the time in which
// it has caught up with a short peak.
func lateRetry() time.Duration {
	return lateRetryLeast + rand.N(lateRetrySpread)
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
	if !r.stagedAt.IsZero() {
		event.Int64("staged_ms", r.stagedAt.Sub(r.call.Received).Milliseconds())
	}
	if !r.firstAt.IsZero() {
		event.Int64("first_ms", r.firstAt.Sub(r.call.Received).Milliseconds())
	}
	if r.sends > 0 {
		event.Str("runner", r.runner).Int("sends", r.sends).Int("executions", r.executions)
	}
	if r.resumed > 0 {
		event.Int("resumed", r.resumed)
	}
	switch {
	case refusal != nil:
		event.Str("outcome", "refused").Str("reason", string(refusal.Reason)).Bool("executed", refusal.Executed).
			Int64("retry_after_ms", refusal.RetryAfter.Milliseconds()).Str("detail", refusal.Detail)
	case r.broken:
		event.Str("outcome", "broken").Str("detail", r.last)
	default:
		event.Str("outcome", "answered").Int("status", r.status)
	}
	event.Int64("ms", now.Sub(r.call.Received).Milliseconds()).Msg("gateway: request ended")
}

func (r *request) logAttempt(entry *placement.Entry, v *verdict, began time.Time) {
	r.g.log.Info().Str("id", r.call.ID).Str("runner", entry.ID).Str("addr", entry.Addr).Str("cause", v.cause).
		Bool("executed", v.executed).Bool("arrived", v.arrived).Int64("ms", time.Since(began).Milliseconds()).
		Msg("gateway: attempt failed")
}
