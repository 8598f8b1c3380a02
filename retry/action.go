package retry

// ActionKind says what the caller of a Call must do.
type ActionKind uint8

// Kinds of actions.
const (
	// Dispatch sends the attempt to an upstream, another one if possible.
	Dispatch ActionKind = iota
	// Cancel ends the attempt; its connection is closed or cancelled.
	Cancel
	// Win takes the attempt's result as the call's result.
	Win
	// End ends the call without a result; see Call.State.
	End
)

// String names the kind.
func (k ActionKind) String() string {
	return [...]string{"dispatch", "cancel", "win", "end"}[k]
}

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Attempt int
	Reason  Reason
}

// Reason says why an attempt was sent or not sent. Each has a counter.
type Reason string

// Reasons of actions.
const (
	First          Reason = "first"
	RetryFailed    Reason = "retry_failed"
	RetryUnstarted Reason = "retry_unstarted"
	Hedge          Reason = "hedge"
	Won            Reason = "won"
	Lost           Reason = "lost"
	// The remaining reasons end a call.
	NotRepeatable   Reason = "not_repeatable"
	NotRetryable    Reason = "not_retryable"
	AttemptsSpent   Reason = "attempts_spent"
	BudgetSpent     Reason = "budget_spent"
	NoTimeLeft      Reason = "no_time_left"
	DeadlineReached Reason = "deadline_reached"
	CallerGone      Reason = "caller_gone"
)
