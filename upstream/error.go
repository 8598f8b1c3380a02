package upstream

import (
	"errors"
	"fmt"
)

// Cause is the reason why an attempt failed. Retries are counted by cause.
type Cause string

// Causes of a failed attempt.
const (
	// NotSent: no byte of the request was written.
	NotSent Cause = "not_sent"
	// Draining: the upstream is draining and did not execute the request.
	Draining Cause = "draining"
	// Overloaded: the upstream is at capacity and did not execute the request.
	Overloaded Cause = "overloaded"
	// SilentConnection: the connection made no progress within the progress timeout.
	SilentConnection Cause = "silent_connection"
	// ConnectionBroken: the connection failed after the request was sent.
	ConnectionBroken Cause = "connection_broken"
	// ErrorStatus: the upstream responded with an error status.
	ErrorStatus Cause = "error_status"
	// ResponseMismatch: the response belongs to another attempt or is damaged.
	ResponseMismatch Cause = "response_mismatch"
	// CancelledBeforeSend: the caller's context ended before any byte was written.
	CancelledBeforeSend Cause = "cancelled_before_send"
	// Cancelled: the caller's context ended after the request was sent.
	Cancelled Cause = "cancelled"
	// GuardFailed: the Guard returned an error before the first byte was written.
	GuardFailed Cause = "guard_failed"
)

// Error describes a failed attempt. Status is the HTTP status, 0 if there is
// none.
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

// MayHaveStarted reports whether the upstream may have begun to execute the
// attempt. It is false only if execution is known not to have begun.
func (e *Error) MayHaveStarted() bool {
	switch e.Cause {
	case NotSent, CancelledBeforeSend, Draining, Overloaded, GuardFailed:
		return false
	default:
		return true
	}
}

// CauseOf returns the cause of err, or ConnectionBroken if err wraps no *Error.
func CauseOf(err error) Cause {
	var e *Error
	if errors.As(err, &e) {
		return e.Cause
	}
	return ConnectionBroken
}

// MayHaveStarted reports whether execution may have begun before err, which is
// assumed if err wraps no *Error.
func MayHaveStarted(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.MayHaveStarted()
	}
	return true
}
