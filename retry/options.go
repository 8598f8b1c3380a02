package retry

import (
	"errors"
	"time"
)

// Defaults of BudgetOptions and Policy.
const (
	DefaultBudgetFraction = 0.10
	DefaultBudgetFloor    = 3
	DefaultBudgetWindow   = 10 * time.Second
	DefaultMaxAttempts    = 3
)

// DefaultMaxOverlap is how long a silent upstream and the one that is to take over
// may both work on a call. An upstream that refuses a call does so earlier.
const DefaultMaxOverlap = 250 * time.Millisecond

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	// Fraction is the maximum ratio of extra attempts to requests in Window.
	Fraction float64
	// Floor is the number of extra attempts allowed in Window even without
	// requests.
	Floor int
	// Window is the period over which requests and extra attempts are counted.
	Window time.Duration
}

// DefaultBudgetOptions returns the default options.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{Fraction: DefaultBudgetFraction, Floor: DefaultBudgetFloor, Window: DefaultBudgetWindow}
}

// Check returns an error for the first option that is out of range.
func (o BudgetOptions) Check() error {
	switch {
	case o.Fraction < 0 || o.Fraction > 1:
		return errors.New("retry: Fraction must be between 0 and 1")
	case o.Floor < 0:
		return errors.New("retry: Floor is negative; set 0 for none")
	case o.Window <= 0:
		return errors.New("retry: Window must be positive")
	}
	return nil
}

// Policy configures a Call.
type Policy struct {
	// Idempotent is true if the call may be executed more than once.
	Idempotent bool
	// RetryNotExecuted allows a non-idempotent call to be sent to another upstream
	// after a response that states that it was not executed.
	RetryNotExecuted bool
	// MaxAttempts is the maximum number of attempts, including the first.
	MaxAttempts int
	// HedgeAfter is the time after which an attempt without a result is hedged;
	// 0 disables hedging.
	HedgeAfter time.Duration
	// MaxOverlap is how long a standby and the silent attempt may both be with an
	// upstream before the standby takes over; 0 means until the first result.
	MaxOverlap time.Duration
	// Deadline is when the call ends; the zero time means no deadline.
	Deadline time.Time
	// MinRemaining is the time before the deadline that an attempt needs. With less
	// time left, no further attempt starts.
	MinRemaining time.Duration
	// Digest is the digest of the request, which a result must repeat. It is empty
	// if the upstream's protocol has none.
	Digest string
}
