package upstream

import (
	"errors"
	"fmt"
)

// Cause names why an attempt failed. Each has its own retry counter.
type Cause string

// Causes of a failed attempt.
const (
	// NotSent: no byte of the request was written.
	NotSent Cause = "not_sent"
	// Draining: the upstream is leaving and did not execute the request.
	Draining Cause = "draining"
	// Overloaded: the upstream is at its limit and did not execute the request.
	Overloaded Cause = "overloaded"
	// Silent: the connection made no progress within the progress timeout.
	Silent Cause = "silent_connection"
	// Broken: the connection failed after the request was sent.
	Broken Cause = "connection_broken"
	// Status: the upstream answered with an error status.
	Status Cause = "error_status"
	// Mismatch: the response belongs to another attempt or is damaged.
	Mismatch Cause = "response_mismatch"
	// Unsent: the caller's context ended before any byte was written.
	Unsent Cause = "cancelled_before_send"
	// Cancelled: the caller's context ended after the request was sent.
	Cancelled Cause = "cancelled"
	// GuardFailed: the check directly before the first byte failed.
	GuardFailed Cause = "guard_failed"
)

// Error is a failed attempt.
type Error struct {
	Cause   Cause
	Address string
	Status  int
	Err     error
}

func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("upstream %s: %s: %v", e.Address, e.Cause, e.Err)
	}
	return fmt.Sprintf("upstream %s: %s (status %d)", e.Address, e.Cause, e.Status)
}

func (e *Error) Unwrap() error { return e.Err }

// Started says whether the upstream may have begun to execute the attempt. It
// is false only if there is proof that it has not.
func (e *Error) Started() bool {
	switch e.Cause {
	case NotSent, Unsent, Draining, Overloaded, GuardFailed:
		return false
	default:
		return true
	}
}

// CauseOf gives the cause of err, Broken if it is not an *Error.
func CauseOf(err error) Cause {
	var e *Error
	if errors.As(err, &e) {
		return e.Cause
	}
	return Broken
}

// MayHaveStarted says whether err leaves open that execution began.
func MayHaveStarted(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.Started()
	}
	return true
}
