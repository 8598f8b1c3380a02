package standin

import (
	"fmt"
	"strconv"
	"strings"
)

// Attempt is the content of a Damask-Attempt header.
type Attempt struct {
	Request string
	Stage   string
	Number  int
}

// ParseAttempt reads "<request id>/<stage>/<attempt number>".
func ParseAttempt(s string) (Attempt, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return Attempt{}, fmt.Errorf("attempt %q: want <request id>/<stage>/<attempt number>", s)
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return Attempt{}, fmt.Errorf("attempt %q: attempt number: %w", s, err)
	}
	return Attempt{Request: parts[0], Stage: parts[1], Number: n}, nil
}

// String returns the form of the header.
func (a Attempt) String() string {
	return fmt.Sprintf("%s/%s/%d", a.Request, a.Stage, a.Number)
}
