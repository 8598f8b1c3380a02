package retry

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

// attemptState is the progress of one attempt.
type attemptState uint8

const (
	// prepared attempts have not written a byte.
	prepared attemptState = iota
	// sent attempts may have been executed.
	sent
	// unstarted attempts provably were not executed.
	unstarted
	// failed attempts may have been executed and gave no result.
	failed
	// answered attempts were executed.
	answered
)

type attempt struct {
	state attemptState
	begun time.Time
	open  bool
	hedge bool
}

// Call is the attempts of one stage of one request.
type Call struct {
	id       ids.RequestID
	stage    string
	policy   Policy
	budget   Spender
	attempts []attempt
	winner   int
	ended    bool
	// hedged says that the present attempts have been hedged.
	hedged bool
	counts Counts
}

// Counts are a call's counters, to be added up by the caller.
type Counts struct {
	Attempts map[Reason]int
	Failures map[Failure]int
	// Late counts complete results after the winner, Mismatched those that
	// belong to another attempt or fail their check.
	Late, Mismatched int
	// HedgeDenied counts hedges that the budget did not allow.
	HedgeDenied int
}

// NewCall prepares a call. Nothing is counted before Start.
func NewCall(id ids.RequestID, stage string, policy Policy, budget Spender) *Call {
	return &Call{
		id: id, stage: stage, policy: policy, budget: budget,
		counts: Counts{Attempts: map[Reason]int{}, Failures: map[Failure]int{}},
	}
}

// Start gives the first attempt.
func (c *Call) Start(now time.Time) []Action {
	if len(c.attempts) > 0 || c.ended {
		return nil
	}
	c.budget.Request(now)
	return c.dispatch(First, now)
}

// ID names an attempt of the call, for the Damask-Attempt header.
func (c *Call) ID(number int) AttemptID {
	return AttemptID{Request: c.id, Stage: c.stage, Attempt: number}
}

// Sent records that the first byte of the attempt is about to be written. It
// gives false if the attempt must not be written any more.
func (c *Call) Sent(number int) bool {
	a := c.open(number)
	if a == nil || a.state != prepared {
		return false
	}
	if !c.policy.Idempotent && c.mayHaveRun(number) {
		a.open = false
		return false
	}
	a.state = sent
	return true
}

// Fail ends an attempt without a result. The failure Refused is believed only
// for an attempt that never was sent.
func (c *Call) Fail(number int, f Failure, now time.Time) []Action {
	a := c.open(number)
	if a == nil {
		return nil
	}
	c.counts.Failures[f]++
	a.open = false
	a.state = endState(a.state, f)
	if c.ended || c.anyOpen() {
		return nil
	}
	return c.again(a, f, now)
}

// endState derives what is known about a failed attempt. A response proves that
// the attempt was sent, whatever the caller reported before.
func endState(before attemptState, f Failure) attemptState {
	switch {
	case f == NotExecuted:
		return unstarted
	case f == ServerError, f == Rejected:
		return answered
	case f == Mismatch:
		return failed
	case before == prepared:
		return unstarted
	}
	return failed
}

// again decides what follows the failure of the last open attempt.
func (c *Call) again(a *attempt, f Failure, now time.Time) []Action {
	reason := RetryFailed
	if a.state == unstarted {
		reason = RetryUnstarted
	}
	if stop := c.blocked(f, now); stop != "" {
		return c.end(stop)
	}
	if !c.budget.Spend(now) {
		return c.end(BudgetSpent)
	}
	return c.dispatch(reason, now)
}

// blocked gives the reason for which no further attempt may begin.
func (c *Call) blocked(f Failure, now time.Time) Reason {
	switch {
	case !c.policy.Idempotent && !c.mayMove(f):
		return NotRepeatable
	case !f.retryable():
		return NotRetryable
	case len(c.attempts) >= c.policy.MaxAttempts:
		return AttemptsSpent
	case !c.timeLeft(now):
		return NoTimeLeft
	}
	return ""
}

// mayMove says whether a non-idempotent call may go to another upstream after
// the failure: only if no attempt may have run.
func (c *Call) mayMove(f Failure) bool {
	if c.mayHaveRun(0) {
		return false
	}
	return f != NotExecuted || c.policy.MoveNotExecuted
}

// Complete takes a complete response. The first one that is valid and names
// the request, stage, attempt and digest of the attempt that carried it wins.
func (c *Call) Complete(r Result, now time.Time) []Action {
	if !c.Matches(r) {
		c.counts.Mismatched++
		return c.Fail(r.Carrier, Mismatch, now)
	}
	a := &c.attempts[r.Carrier-1]
	// The end of the call has closed every attempt.
	if !a.open {
		c.counts.Late++
		a.state = answered
		return nil
	}
	a.open = false
	a.state = answered
	c.ended = true
	c.winner = r.Carrier
	return append([]Action{{Kind: Win, Attempt: r.Carrier, Reason: Won}}, c.cancelOpen(Lost)...)
}

// Matches says whether the result is a valid one of the attempt that carried
// it. After the call's end it tells whether a late result of a non-idempotent
// call may still be recorded.
func (c *Call) Matches(r Result) bool {
	if r.Carrier < 1 || r.Carrier > len(c.attempts) {
		return false
	}
	return r.Valid && r.ID == c.ID(r.Carrier) && r.Digest == c.policy.Digest
}

// Tick does what is due: it ends the call at its deadline or sends a hedge.
func (c *Call) Tick(now time.Time) []Action {
	if c.ended || len(c.attempts) == 0 {
		return nil
	}
	if !c.policy.Deadline.IsZero() && !now.Before(c.policy.Deadline) {
		return c.end(DeadlineReached)
	}
	if at, ok := c.hedgeAt(); ok && !now.Before(at) {
		return c.hedge(now)
	}
	return nil
}

// Wake gives the next time at which Tick has something to do, false if none.
func (c *Call) Wake() (time.Time, bool) {
	if c.ended {
		return time.Time{}, false
	}
	at, ok := c.hedgeAt()
	if !ok || !c.policy.Deadline.IsZero() && c.policy.Deadline.Before(at) {
		return c.policy.Deadline, !c.policy.Deadline.IsZero()
	}
	return at, true
}

// hedgeAt gives the time of the hedge. Each call has at most one.
func (c *Call) hedgeAt() (time.Time, bool) {
	if !c.policy.Idempotent || c.policy.HedgeAfter <= 0 || c.hedged || !c.anyOpen() {
		return time.Time{}, false
	}
	last := c.attempts[len(c.attempts)-1]
	return last.begun.Add(c.policy.HedgeAfter), true
}

func (c *Call) hedge(now time.Time) []Action {
	c.hedged = true
	if len(c.attempts) >= c.policy.MaxAttempts || !c.timeLeft(now) {
		return nil
	}
	if !c.budget.Spend(now) {
		c.counts.HedgeDenied++
		return nil
	}
	return c.dispatch(Hedge, now)
}

// Progress records that an attempt has begun to give its result, such as the
// first token of a stream. The other open attempts are cancelled and no hedge
// follows: from here on only a failure of this attempt starts another one.
func (c *Call) Progress(number int) []Action {
	if c.ended || c.open(number) == nil {
		return nil
	}
	c.hedged = true
	return c.cancelOthers(number, Lost)
}

// Abandon ends the call because its caller has gone.
func (c *Call) Abandon() []Action { return c.end(CallerGone) }

// State says whether the call was executed, as far as is provable.
func (c *Call) State() problem.State {
	state := problem.NotRun
	for i := range c.attempts {
		switch c.attempts[i].state {
		case answered:
			return problem.Ran
		case sent, failed:
			state = problem.Unknown
		}
	}
	return state
}

// Winner gives the attempt whose result counts, 0 if there is none.
func (c *Call) Winner() int { return c.winner }

// Attempts gives the number of attempts begun.
func (c *Call) Attempts() int { return len(c.attempts) }

// Ended says that the call needs nothing more.
func (c *Call) Ended() bool { return c.ended }

// Counts gives the counters. The maps must not be changed.
func (c *Call) Counts() Counts { return c.counts }

func (c *Call) dispatch(reason Reason, now time.Time) []Action {
	c.counts.Attempts[reason]++
	c.attempts = append(c.attempts, attempt{begun: now, open: true, hedge: reason == Hedge})
	return []Action{{Kind: Dispatch, Attempt: len(c.attempts), Reason: reason}}
}

func (c *Call) end(reason Reason) []Action {
	if c.ended {
		return nil
	}
	c.ended = true
	c.counts.Attempts[reason]++
	return append(c.cancelOpen(reason), Action{Kind: End, Reason: reason})
}

// cancelOpen closes the open attempts. A sent one may still have run.
func (c *Call) cancelOpen(reason Reason) []Action {
	return c.cancelOthers(0, reason)
}

// cancelOthers closes the open attempts but the one to keep.
func (c *Call) cancelOthers(keep int, reason Reason) []Action {
	var actions []Action
	for i := range c.attempts {
		a := &c.attempts[i]
		if !a.open || i+1 == keep {
			continue
		}
		a.open = false
		a.state = endState(a.state, Broken)
		actions = append(actions, Action{Kind: Cancel, Attempt: i + 1, Reason: reason})
	}
	return actions
}

// mayHaveRun says whether an attempt other than the given one may have run.
func (c *Call) mayHaveRun(except int) bool {
	for i := range c.attempts {
		switch c.attempts[i].state {
		case sent, failed, answered:
			if i+1 != except {
				return true
			}
		}
	}
	return false
}

func (c *Call) timeLeft(now time.Time) bool {
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

func (c *Call) open(number int) *attempt {
	if number < 1 || number > len(c.attempts) || !c.attempts[number-1].open {
		return nil
	}
	return &c.attempts[number-1]
}
