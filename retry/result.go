package retry

import (
	"fmt"
	"strconv"
	"strings"

	"damaskbridge.example/damaskbridge/ids"
)

// AttemptID names one attempt: the Damask-Attempt header.
type AttemptID struct {
	Request ids.RequestID
	Stage   string
	Attempt int
}

// String gives "request/stage/attempt".
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%s/%d", a.Request, a.Stage, a.Attempt)
}

// ParseAttemptID reads the form that String writes.
func ParseAttemptID(s string) (AttemptID, error) {
	first := strings.IndexByte(s, '/')
	last := strings.LastIndexByte(s, '/')
	if first < 0 || last <= first {
		return AttemptID{}, fmt.Errorf("retry: attempt %q: want request/stage/attempt", s)
	}
	request, err := ids.ParseRequestID(s[:first])
	if err != nil {
		return AttemptID{}, fmt.Errorf("retry: attempt %q: %w", s, err)
	}
	number, err := strconv.Atoi(s[last+1:])
	if err != nil || number < 1 {
		return AttemptID{}, fmt.Errorf("retry: attempt %q: the number must be 1 or more", s)
	}
	return AttemptID{Request: request, Stage: s[first+1 : last], Attempt: number}, nil
}

// Result is a complete response.
type Result struct {
	// Carrier is the attempt on whose connection the response came.
	Carrier int
	// ID is what the response itself names.
	ID AttemptID
	// Digest is the request digest that the response names, Policy.Digest if
	// the protocol has none.
	Digest string
	// Valid says that the body passed its own check, as for its SHA-256.
	Valid bool
}
