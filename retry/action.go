package retry

// ActionKind tells the caller of a Call what to do.
type ActionKind uint8

// Kinds of actions.
const (
	// Dispatch sends the attempt, if possible to an upstream not tried yet.
	Dispatch ActionKind = iota
	// Cancel aborts the attempt by closing or cancelling its connection.
	Cancel
	// Win makes the attempt's result the result of the call.
	Win
	// End ends the call without a result; see Call.State.
	End
)

// String returns the name of the kind.
func (k ActionKind) String() string {
	return [...]string{"dispatch", "cancel", "win", "end"}[k]
}

// Action is one step that the caller of a Call must carry out.
type Action struct {
	Kind    ActionKind
	Attempt int
	Reason  Reason
}

// Reason is the reason for an action or for the end of a call. The values are
// used as metric labels.
type Reason string

// Reasons of actions.
const (
	First          Reason = "first"
	RetryFailed    Reason = "retry_failed"
	RetryUnstarted Reason = "retry_unstarted"
	Hedge          Reason = "hedge"
	Standby        Reason = "standby"
	Won            Reason = "won"
	Lost           Reason = "lost"
	// TakenOver: the attempt was silent and a standby has taken over.
	TakenOver Reason = "taken_over"
	// The remaining reasons end a call.
	NotRepeatable   Reason = "not_repeatable"
	NotRetryable    Reason = "not_retryable"
	AttemptsSpent   Reason = "attempts_spent"
	BudgetSpent     Reason = "budget_spent"
	NoTimeLeft      Reason = "no_time_left"
	DeadlineReached Reason = "deadline_reached"
	CallerGone      Reason = "caller_gone"
)
