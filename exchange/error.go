package exchange

import (
	"errors"
	"fmt"
)

// Error is a failed exchange.
type Error struct {
	Addr string
	// Sent says that a byte of the request may have left.
	Sent bool
	// Answered says that a byte of a response has come.
	Answered bool
	Err      error
}

func (e *Error) Error() string {
	switch {
	case !e.Sent:
		return fmt.Sprintf("request to %s was not sent: %v; another runner may be tried", e.Addr, e.Err)
	case e.Answered:
		return fmt.Sprintf("response of %s is damaged: %v; the request may have been executed", e.Addr, e.Err)
	default:
		return fmt.Sprintf("request to %s got no response: %v; it may have been executed", e.Addr, e.Err)
	}
}

func (e *Error) Unwrap() error { return e.Err }

// WasSent says whether a byte of the request may have left. Errors of other
// kinds count as sent.
func WasSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// errForeign says that a connection gave nothing but responses of others.
var errForeign = errors.New("only responses to other requests came")
