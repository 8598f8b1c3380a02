package problem

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of RFC 9457.
const ContentType = "application/problem+json"

// Problem is one RFC 9457 problem detail. It is an error whose text names the
// remedy.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Instance  string `json:"instance,omitempty"`
	Reason    Kind   `json:"reason"`
	Remedy    string `json:"remedy"`
	Execution State  `json:"execution_state"`
	// RetryAfterMS is the time after which a retry may succeed, in
	// milliseconds; 0 means that no time is known.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Winner shows the change that won a version conflict.
	Winner json.RawMessage `json:"winner,omitempty"`
}

// New makes a problem of kind k. Detail is formatted as by fmt.Sprintf.
func New(k Kind, s State, format string, args ...any) *Problem {
	e := table[k]
	return &Problem{
		Type:      "urn:damaskbridge:problem:" + string(k),
		Title:     e.title,
		Status:    k.Status(),
		Detail:    fmt.Sprintf(format, args...),
		Reason:    k,
		Remedy:    e.remedy,
		Execution: s,
	}
}

// Error gives the title, the detail and the remedy.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s. %s", p.Title, p.Detail, p.Remedy)
}

// After sets the retry hint and gives back p.
func (p *Problem) After(d time.Duration) *Problem {
	p.RetryAfterMS = d.Milliseconds()
	return p
}

// For sets the request that the problem is about and gives back p.
func (p *Problem) For(instance string) *Problem {
	p.Instance = instance
	return p
}

// As finds a Problem in err's chain.
func As(err error) (*Problem, bool) {
	var p *Problem
	ok := errors.As(err, &p)
	return p, ok
}

// Write sends the problem as an HTTP response.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + 999) / 1000
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	// The caller may be gone; there is no one left to tell.
	_ = json.NewEncoder(w).Encode(p)
}
