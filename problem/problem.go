package problem

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of problem details in RFC 9457.
const ContentType = "application/problem+json"

// Problem is an RFC 9457 problem detail. It is an error whose message includes
// the remedy.
type Problem struct {
	Type      string         `json:"type"`
	Title     string         `json:"title"`
	Status    int            `json:"status"`
	Detail    string         `json:"detail,omitempty"`
	Instance  string         `json:"instance,omitempty"`
	Reason    Kind           `json:"reason"`
	Remedy    string         `json:"remedy"`
	Execution ExecutionState `json:"execution_state"`
	// RetryAfterMS is the time in milliseconds after which a retry may succeed;
	// 0 if it is unknown.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Winner is the accepted change in a version conflict.
	Winner json.RawMessage `json:"winner,omitempty"`
}

// New returns a problem of kind k. format and args give its Detail, as for
// fmt.Sprintf.
func New(k Kind, s ExecutionState, format string, args ...any) *Problem {
	info := kindTable[k]
	return &Problem{
		Type:      "urn:damaskbridge:problem:" + string(k),
		Title:     info.title,
		Status:    k.Status(),
		Detail:    fmt.Sprintf(format, args...),
		Reason:    k,
		Remedy:    info.remedy,
		Execution: s,
	}
}

// Error returns the title, the detail and the remedy.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s. %s", p.Title, p.Detail, p.Remedy)
}

// WithRetryAfter sets the time after which a retry may succeed, and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfterMS = d.Milliseconds()
	return p
}

// WithInstance sets the request that the problem occurred in, and returns p.
func (p *Problem) WithInstance(instance string) *Problem {
	p.Instance = instance
	return p
}

// As returns the first Problem in err's chain, if any.
func As(err error) (*Problem, bool) {
	var p *Problem
	ok := errors.As(err, &p)
	return p, ok
}

// Write sends the problem as an HTTP response. The Retry-After header is rounded
// up to whole seconds.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + 999) / 1000
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	// An error means that the caller has disconnected; it cannot be reported.
	_ = json.NewEncoder(w).Encode(p)
}
