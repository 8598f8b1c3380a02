package exchange

import (
	"errors"
	"fmt"
)

// Error is returned if an exchange failed.
type Error struct {
	Addr string
	// Sent is true if a byte of the request may have been sent.
	Sent bool
	// ResponseStarted is true if a byte of a response was received.
	ResponseStarted bool
	Err             error
}

func (e *Error) Error() string {
	switch {
	case !e.Sent:
		return fmt.Sprintf("request to %s was not sent: %v; another runner may be tried", e.Addr, e.Err)
	case e.ResponseStarted:
		return fmt.Sprintf("response of %s is damaged: %v; the request may have been executed", e.Addr, e.Err)
	default:
		return fmt.Sprintf("request to %s got no response: %v; it may have been executed", e.Addr, e.Err)
	}
}

func (e *Error) Unwrap() error { return e.Err }

// WasSent reports whether a byte of the request may have been sent. It returns
// true for errors that are not an *Error.
func WasSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// errNoMatchingResponse is returned if all responses on a connection belonged to
// other requests.
var errNoMatchingResponse = errors.New("all responses received belong to other requests")

// errHeadTooLarge is returned if a peer sends a head without end.
var errHeadTooLarge = fmt.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)

// errUnidentified is returned if a response on a reused connection does not say
// to which request it belongs: it may be a late copy of an earlier one.
var errUnidentified = errors.New("the response does not say to which request it belongs")
