package transport

import (
	"errors"
	"fmt"
)

// NotSentError reports that a call failed before any byte of it was sent, so
// the peer cannot have handled it.
type NotSentError struct {
	Addr string
	Err  error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("call to %s was not sent: %v; check that the process is running and the address is right", e.Addr, e.Err)
}

func (e *NotSentError) Unwrap() error { return e.Err }

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Addr    string
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s answered with an error: %s", e.Addr, e.Message)
}

// OutcomeUnknownError reports that a call failed after its first byte was sent.
// The peer may or may not have handled it.
type OutcomeUnknownError struct {
	Addr string
	Err  error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("call to %s was sent and its answer was lost: %v; it may have been handled, so repeat it only if it is idempotent", e.Addr, e.Err)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// RefusedError reports that the peer read the call's header and did not pass
// the call to its handler.
type RefusedError struct {
	Addr   string
	Reason string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused the call and did not handle it: %s", e.Addr, e.Reason)
}

// TooLargeError reports that a body exceeds this process's limit.
type TooLargeError struct {
	Bytes, Limit uint64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the body has %d bytes and the limit is %d; send less or raise the limit on both ends", e.Bytes, e.Limit)
}

// ErrProgressTimeout is wrapped by an OutcomeUnknownError whose connection was
// closed because nothing was received from the peer within the progress
// timeout. It does not mean that the peer is down: the next call opens a new
// connection.
var ErrProgressTimeout = errors.New("the connection was silent for the progress timeout and was closed")

// ErrClosed is returned by calls on a closed client.
var ErrClosed = errors.New("the transport was closed")
