package stream

import (
	"errors"
	"fmt"
)

// Errors of the Assembler. Except for ErrEvicted, each error means that the
// attempt is faulty: cancel it and start another one.
var (
	ErrUnknownAttempt = errors.New("stream: the attempt was not started or has failed; call Begin first")
	ErrFinished       = errors.New("stream: the stream is complete; cancel the attempt")
	ErrEvicted        = errors.New("stream: the requested event has left the replay buffer; send the request again")
)

// GapError is returned if an attempt skipped tokens.
type GapError struct {
	Attempt   int
	Want, Got uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("stream: attempt %d sent token %d, want %d; cancel it and resume with another attempt", e.Attempt, e.Got, e.Want)
}

// DivergedError is returned if an attempt sent another text for an accepted
// token, so that it does not continue the same completion.
type DivergedError struct {
	Attempt int
	Number  uint64
}

func (e *DivergedError) Error() string {
	return fmt.Sprintf("stream: attempt %d sent another text for token %d; cancel it and resume with another attempt", e.Attempt, e.Number)
}

// CountError is returned if an attempt ended with a token count that does not
// match the tokens received.
type CountError struct {
	Attempt   int
	Have, Got uint64
}

func (e *CountError) Error() string {
	return fmt.Sprintf("stream: attempt %d ended with a count of %d but %d tokens were received; resume with another attempt", e.Attempt, e.Got, e.Have)
}
