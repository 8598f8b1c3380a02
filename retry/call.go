package retry

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

// attemptState is what is known about the execution of one attempt.
type attemptState uint8

const (
	// prepared: no byte has been written yet.
	prepared attemptState = iota
	// sent: the attempt may have been executed.
	sent
	// notExecuted: the attempt was provably not executed.
	notExecuted
	// failed: the attempt gave no result and may have been executed.
	failed
	// executed: the attempt was executed.
	executed
)

type attempt struct {
	state     attemptState
	startedAt time.Time
	open      bool
	isHedge   bool
	// isSilent is true from Stalled on. When an attempt goes on, the others end, so
	// it is not read again before the next Stalled.
	isSilent bool
	// isStandby is true for an attempt that was started beside silent ones, until
	// it is the silent one.
	isStandby bool
	// takesOverAt is when a standby that was not refused ends the silent attempt;
	// the zero time means never.
	takesOverAt time.Time
	// cancelled is true if the attempt was closed in favour of another one.
	cancelled bool
}

// Call tracks the attempts of one stage of one request. It is not safe for
// concurrent use.
type Call struct {
	id       ids.RequestID
	stage    string
	policy   Policy
	budget   Limiter
	attempts []attempt
	winner   int
	isEnded  bool
	// hedged is true once the hedge of this call was decided on, whether it was
	// sent or not, or once an attempt has made progress.
	hedged bool
	counts Counts
}

// Counts holds the counters of one call, for the caller to aggregate.
type Counts struct {
	Attempts map[Reason]int
	Failures map[Failure]int
	// Late counts valid results of attempts that were closed before.
	// Mismatched counts results that are invalid or belong to another attempt.
	Late, Mismatched int
	// HedgeDenied counts hedges that the budget denied, and StandbyDenied standby
	// attempts.
	HedgeDenied, StandbyDenied int
}

// NewCall returns a call that has not been started. The budget is first used
// by Start.
func NewCall(id ids.RequestID, stage string, policy Policy, budget Limiter) *Call {
	return &Call{
		id: id, stage: stage, policy: policy, budget: budget,
		counts: Counts{Attempts: map[Reason]int{}, Failures: map[Failure]int{}},
	}
}

// Start returns the action that dispatches the first attempt.
func (c *Call) Start(now time.Time) []Action {
	if len(c.attempts) > 0 || c.isEnded {
		return nil
	}
	c.budget.RecordRequest(now)
	return c.dispatch(First, now)
}

// AttemptID returns the ID of an attempt, for the Damask-Attempt header.
func (c *Call) AttemptID(number int) AttemptID {
	return AttemptID{Request: c.id, Stage: c.stage, Attempt: number}
}

// Sent records that the first byte of the attempt is about to be written. It
// returns false if the attempt must not be written any more.
func (c *Call) Sent(number int) bool {
	a := c.openAttempt(number)
	if a == nil || a.state != prepared {
		return false
	}
	if !c.policy.Idempotent && c.mayHaveExecuted(number) {
		a.open = false
		return false
	}
	a.state = sent
	return true
}

// Fail ends an attempt without a result. Refused counts as not executed only if
// the attempt was never sent.
func (c *Call) Fail(number int, f Failure, now time.Time) []Action {
	a := c.openAttempt(number)
	if a == nil {
		return nil
	}
	c.counts.Failures[f]++
	a.open = false
	a.state = finalState(a.state, f)
	if c.isEnded || c.anyOpen() {
		return nil
	}
	return c.retryOrEnd(a, f, now)
}

// finalState returns what is known about an attempt that has failed. A response
// proves that the attempt was sent, even if Sent was not called.
func finalState(before attemptState, f Failure) attemptState {
	switch {
	case f == NotExecuted:
		return notExecuted
	case f == ServerError, f == Rejected:
		return executed
	case f == Mismatch:
		return failed
	case before == prepared:
		return notExecuted
	}
	return failed
}

// retryOrEnd starts another attempt or ends the call after the last open attempt
// has failed.
func (c *Call) retryOrEnd(a *attempt, f Failure, now time.Time) []Action {
	reason := RetryFailed
	if a.state == notExecuted {
		reason = RetryUnstarted
	}
	if stop := c.retryBlockedBy(f, now); stop != "" {
		return c.endCall(stop)
	}
	if !c.budget.TrySpend(now) {
		return c.endCall(BudgetSpent)
	}
	return c.dispatch(reason, now)
}

// retryBlockedBy returns the reason why no further attempt may start, or "".
func (c *Call) retryBlockedBy(f Failure, now time.Time) Reason {
	switch {
	case !c.policy.Idempotent && !c.mayRetryNonIdempotent(f):
		return NotRepeatable
	case !f.retryable():
		return NotRetryable
	case len(c.attempts) >= c.policy.MaxAttempts:
		return AttemptsSpent
	case !c.hasTimeLeft(now):
		return NoTimeLeft
	}
	return ""
}

// mayRetryNonIdempotent reports whether a non-idempotent call may be sent to
// another upstream after the failure. It may only if no attempt can have been
// executed.
func (c *Call) mayRetryNonIdempotent(f Failure) bool {
	if c.mayHaveExecuted(0) {
		return false
	}
	return f != NotExecuted || c.policy.RetryNotExecuted
}

// Complete handles a complete response. The first valid one whose request,
// stage, attempt and digest match the attempt that it arrived on wins.
func (c *Call) Complete(r Result, now time.Time) []Action {
	if !c.Matches(r) {
		c.counts.Mismatched++
		return c.Fail(r.ReceivedOn, Mismatch, now)
	}
	a := &c.attempts[r.ReceivedOn-1]
	// The end of the call closes all attempts, so this result is late. That of an
	// attempt that was cancelled while the call goes on is still the first.
	if !a.open && (c.isEnded || !a.cancelled) {
		c.counts.Late++
		a.state = executed
		return nil
	}
	a.open = false
	a.state = executed
	c.isEnded = true
	c.winner = r.ReceivedOn
	return append([]Action{{Kind: Win, Attempt: r.ReceivedOn, Reason: Won}}, c.cancelOpen(c.cancelReason(r.ReceivedOn))...)
}

// Matches reports whether the result is valid and belongs to the attempt that
// it arrived on. After the end of a non-idempotent call, callers use it to
// decide whether a late result may still be recorded.
func (c *Call) Matches(r Result) bool {
	if r.ReceivedOn < 1 || r.ReceivedOn > len(c.attempts) {
		return false
	}
	return r.Valid && r.ID == c.AttemptID(r.ReceivedOn) && r.Digest == c.policy.Digest
}

// Tick ends the call if its deadline has passed, lets a standby take over and
// sends a hedge if one is due.
func (c *Call) Tick(now time.Time) []Action {
	if c.isEnded || len(c.attempts) == 0 {
		return nil
	}
	if !c.policy.Deadline.IsZero() && !now.Before(c.policy.Deadline) {
		return c.endCall(DeadlineReached)
	}
	if number, at, ok := c.takeoverTime(); ok && !now.Before(at) {
		return c.cancelOthers(number, TakenOver)
	}
	if at, ok := c.hedgeTime(); ok && !now.Before(at) {
		return c.sendHedge(now)
	}
	return nil
}

// NextTick returns the next time at which Tick has something to do, or false if
// there is none.
func (c *Call) NextTick() (time.Time, bool) {
	if c.isEnded {
		return time.Time{}, false
	}
	at, ok := c.hedgeTime()
	if _, takeover, found := c.takeoverTime(); found && (!ok || takeover.Before(at)) {
		at, ok = takeover, true
	}
	if !ok || !c.policy.Deadline.IsZero() && c.policy.Deadline.Before(at) {
		return c.policy.Deadline, !c.policy.Deadline.IsZero()
	}
	return at, true
}

// hedgeTime returns the time at which the hedge is due. A call has at most one.
func (c *Call) hedgeTime() (time.Time, bool) {
	if !c.policy.Idempotent || c.policy.HedgeAfter <= 0 || c.hedged || !c.anyOpen() {
		return time.Time{}, false
	}
	last := c.attempts[len(c.attempts)-1]
	return last.startedAt.Add(c.policy.HedgeAfter), true
}

func (c *Call) sendHedge(now time.Time) []Action {
	c.hedged = true
	if len(c.attempts) >= c.policy.MaxAttempts || !c.hasTimeLeft(now) {
		return nil
	}
	if !c.budget.TrySpend(now) {
		c.counts.HedgeDenied++
		return nil
	}
	return c.dispatch(Hedge, now)
}

// Progress records that an attempt has started to deliver its result, such as
// the first token of a stream, or to go on with it after a silence. It cancels the
// other open attempts and prevents a hedge: from now on, only a failure or a
// silence of this attempt starts another one.
func (c *Call) Progress(number int) []Action {
	if c.isEnded || c.openAttempt(number) == nil {
		return nil
	}
	c.hedged = true
	return c.cancelOthers(number, c.cancelReason(number))
}

// Abandon ends the call because its caller has disconnected.
func (c *Call) Abandon() []Action { return c.endCall(CallerGone) }

// State returns whether the call was executed, as far as that can be proved.
func (c *Call) State() problem.ExecutionState {
	state := problem.NotRun
	for i := range c.attempts {
		switch c.attempts[i].state {
		case executed:
			return problem.Executed
		case sent, failed:
			state = problem.Unknown
		}
	}
	return state
}

// Winner returns the number of the attempt that won, or 0 if there is none.
func (c *Call) Winner() int { return c.winner }

// Attempts returns the number of attempts started.
func (c *Call) Attempts() int { return len(c.attempts) }

// Ended reports whether the call has won or ended.
func (c *Call) Ended() bool { return c.isEnded }

// Counts returns the counters. The maps must not be modified.
func (c *Call) Counts() Counts { return c.counts }

func (c *Call) dispatch(reason Reason, now time.Time) []Action {
	c.counts.Attempts[reason]++
	c.attempts = append(c.attempts, attempt{startedAt: now, open: true, isHedge: reason == Hedge, isStandby: reason == Standby})
	return []Action{{Kind: Dispatch, Attempt: len(c.attempts), Reason: reason}}
}

func (c *Call) endCall(reason Reason) []Action {
	if c.isEnded {
		return nil
	}
	c.isEnded = true
	c.counts.Attempts[reason]++
	return append(c.cancelOpen(reason), Action{Kind: End, Reason: reason})
}

// cancelOpen closes all open attempts. Those already sent may still be executed.
func (c *Call) cancelOpen(reason Reason) []Action {
	return c.cancelOthers(0, reason)
}

// cancelOthers closes all open attempts except keep.
func (c *Call) cancelOthers(keep int, reason Reason) []Action {
	var actions []Action
	for i := range c.attempts {
		a := &c.attempts[i]
		if !a.open || i+1 == keep {
			continue
		}
		a.open = false
		a.cancelled = true
		if reason == TakenOver {
			c.counts.Attempts[reason]++
		}
		a.state = finalState(a.state, Broken)
		actions = append(actions, Action{Kind: Cancel, Attempt: i + 1, Reason: reason})
	}
	return actions
}

// mayHaveExecuted reports whether an attempt other than except may have been
// executed.
func (c *Call) mayHaveExecuted(except int) bool {
	for i := range c.attempts {
		switch c.attempts[i].state {
		case sent, failed, executed:
			if i+1 != except {
				return true
			}
		}
	}
	return false
}

func (c *Call) hasTimeLeft(now time.Time) bool {
	return c.policy.Deadline.IsZero() || now.Add(c.policy.MinRemaining).Before(c.policy.Deadline)
}

func (c *Call) anyOpen() bool {
	for i := range c.attempts {
		if c.attempts[i].open {
			return true
		}
	}
	return false
}

func (c *Call) openAttempt(number int) *attempt {
	if number < 1 || number > len(c.attempts) || !c.attempts[number-1].open {
		return nil
	}
	return &c.attempts[number-1]
}
