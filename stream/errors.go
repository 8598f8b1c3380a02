package stream

import (
	"errors"
	"fmt"
)

// Errors of the Assembler. Each one but ErrTooOld means that the attempt is
// faulty: cancel it and begin another one.
var (
	ErrUnknownAttempt = errors.New("stream: the attempt was not begun or has been failed; call Begin first")
	ErrFinished       = errors.New("stream: the stream is complete; drop the attempt")
	ErrTooOld         = errors.New("stream: the requested event has left the replay buffer; send the request again")
)

// GapError reports that an attempt skipped tokens.
type GapError struct {
	Attempt   int
	Want, Got uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("stream: attempt %d sent token %d, want %d; cancel it and resume with another attempt", e.Attempt, e.Got, e.Want)
}

// DivergedError reports that an attempt sent another text for an accepted
// token, so that it does not continue the same completion.
type DivergedError struct {
	Attempt int
	Number  uint64
}

func (e *DivergedError) Error() string {
	return fmt.Sprintf("stream: attempt %d sent another text for token %d; cancel it and resume with another attempt", e.Attempt, e.Number)
}

// CountError reports that an attempt ended with a count that does not match
// the tokens received.
type CountError struct {
	Attempt   int
	Have, Got uint64
}

func (e *CountError) Error() string {
	return fmt.Sprintf("stream: attempt %d ended with a count of %d but %d tokens were received; resume with another attempt", e.Attempt, e.Got, e.Have)
}
