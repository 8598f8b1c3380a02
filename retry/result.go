package retry

import (
	"fmt"
	"strconv"
	"strings"

	"damaskbridge.example/damaskbridge/ids"
)

// AttemptID identifies one attempt. It is the value of the Damask-Attempt header.
type AttemptID struct {
	Request ids.RequestID
	Stage   string
	Attempt int
}

// String returns the ID as "request/stage/attempt".
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%s/%d", a.Request, a.Stage, a.Attempt)
}

// ParseAttemptID parses the format written by String.
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
		return AttemptID{}, fmt.Errorf("retry: attempt %q: the attempt number must be 1 or more", s)
	}
	return AttemptID{Request: request, Stage: s[first+1 : last], Attempt: number}, nil
}

// Result is a complete response to an attempt.
type Result struct {
	// ReceivedOn is the number of the attempt on whose connection the response
	// arrived.
	ReceivedOn int
	// ID is the attempt ID that the response contains.
	ID AttemptID
	// Digest is the request digest that the response contains, or Policy.Digest
	// if the protocol has none.
	Digest string
	// Valid is true if the body passed its own check, such as its SHA-256.
	Valid bool
}
