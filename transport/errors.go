package transport

import "fmt"

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
