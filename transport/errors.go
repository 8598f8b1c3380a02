package transport

import (
	"errors"
	"fmt"
)

// NotSentError says that a call failed before any byte of it was sent, so the
// other end has certainly not seen it.
type NotSentError struct {
	Addr string
	Err  error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("call to %s was not sent: %v; check that the process is running and the address is right", e.Addr, e.Err)
}

func (e *NotSentError) Unwrap() error { return e.Err }

// RemoteError is an error that the other end's handler returned.
type RemoteError struct {
	Addr    string
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s answered with an error: %s", e.Addr, e.Message)
}

// LostError says that a call failed after its first byte was sent. The other
// end may or may not have handled it.
type LostError struct {
	Addr string
	Err  error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("call to %s was sent and its answer was lost: %v; it may have been handled, so repeat it only if it is idempotent", e.Addr, e.Err)
}

func (e *LostError) Unwrap() error { return e.Err }

// RefusedError says that the other end read the call's header and did not pass
// the call to its handler.
type RefusedError struct {
	Addr   string
	Reason string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused the call and did not handle it: %s", e.Addr, e.Reason)
}

// TooLargeError says that a body is over the limit of this process.
type TooLargeError struct {
	Bytes, Limit uint64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the body has %d bytes and the limit is %d; send less or raise the limit on both ends", e.Bytes, e.Limit)
}

// ErrSilent is in the chain of a LostError whose connection was closed because
// no byte came from the peer within the progress timeout. It says nothing about
// the peer itself: the next call opens a new connection.
var ErrSilent = errors.New("the connection was silent for the progress timeout and was closed")

// ErrClosed is returned by a client or server that was closed.
var ErrClosed = errors.New("the transport was closed")
