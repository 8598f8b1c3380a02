package retry

import (
	"errors"
	"time"
)

// Defaults of BudgetOptions and Policy.
const (
	DefaultBudgetPart   = 0.10
	DefaultBudgetFloor  = 3
	DefaultBudgetWindow = 10 * time.Second
	DefaultMaxAttempts  = 3
)

// BudgetOptions set a Budget.
type BudgetOptions struct {
	// Part is the number of extra attempts per request, over Window.
	Part float64
	// Floor is the number of extra attempts allowed in Window even without
	// requests.
	Floor int
	// Window is the time over which requests and extra attempts are counted.
	Window time.Duration
}

// DefaultBudgetOptions gives the defaults.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{Part: DefaultBudgetPart, Floor: DefaultBudgetFloor, Window: DefaultBudgetWindow}
}

// Check reports the first option that is out of bounds.
func (o BudgetOptions) Check() error {
	switch {
	case o.Part < 0 || o.Part > 1:
		return errors.New("retry: Part must be between 0 and 1")
	case o.Floor < 0:
		return errors.New("retry: Floor is negative; set 0 for none")
	case o.Window <= 0:
		return errors.New("retry: Window must be positive")
	}
	return nil
}

// Policy sets what a Call may do.
type Policy struct {
	// Idempotent says that the call may be executed more than once.
	Idempotent bool
	// MoveNotExecuted lets a non-idempotent call move to another upstream after
	// a response that says that it was not executed.
	MoveNotExecuted bool
	// MaxAttempts bounds the attempts, the first included.
	MaxAttempts int
	// HedgeAfter is the time after which an attempt without a result is hedged;
	// 0 for no hedge.
	HedgeAfter time.Duration
	// Deadline ends the call; zero if there is none.
	Deadline time.Time
	// MinRemaining is the time that an attempt needs at least: with less left no
	// further attempt begins.
	MinRemaining time.Duration
	// Digest is the digest of the request; a result must name the same. Empty
	// if the upstream's protocol has none.
	Digest string
}
