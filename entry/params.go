package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"damaskbridge.example/damaskbridge/admission"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

// Headers of callers' requests and responses.
const (
	// HeaderDeadline is the time the caller can wait, in milliseconds.
	HeaderDeadline = "Damask-Deadline-Ms"
	// HeaderPriority is "interactive", "normal" or "batch".
	HeaderPriority = "Damask-Priority"
	// HeaderRequest carries the request id in responses.
	HeaderRequest = "Damask-Request"
	// HeaderReplayed marks a stored response.
	HeaderReplayed = "Damask-Replayed"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderResumeURL tells where a stream can be resumed.
	HeaderResumeURL = "Damask-Resume-Url"
)

// deadline reads the caller's deadline. Without one the branch's default
// holds; a longer one than allowed is cut to the maximum.
func deadline(tree *settings.Tree, branch string, r *http.Request, now time.Time) (time.Time, error) {
	longest := tree.Duration(branch, settings.DeadlineMax)
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return now.Add(min(tree.Duration(branch, settings.DeadlineDefault), longest)), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, problem.New(problem.BadRequest, problem.NotRun, "%s is %q, want milliseconds", HeaderDeadline, text)
	}
	if ms <= 0 {
		return time.Time{}, problem.New(problem.DeadlinePast, problem.NotRun, "%s is %d", HeaderDeadline, ms)
	}
	wait := longest
	if ms < longest.Milliseconds() {
		wait = time.Duration(ms) * time.Millisecond
	}
	return now.Add(wait), nil
}

// priority reads the caller's priority, else the branch's default.
func priority(tree *settings.Tree, branch string, r *http.Request) (admission.Priority, error) {
	text := r.Header.Get(HeaderPriority)
	if text == "" {
		text = tree.String(branch, settings.PriorityDefault)
	}
	p, err := admission.ParsePriority(text)
	if err != nil {
		return p, problem.New(problem.BadRequest, problem.NotRun, "%s is %q, want interactive, normal or batch", HeaderPriority, text)
	}
	return p, nil
}

// body reads the request body up to the branch's limit.
func body(tree *settings.Tree, branch string, w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := int64(tree.Int(branch, settings.BodyMaxBytes))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(problem.BodyTooLarge, problem.NotRun, "the limit is %d bytes", limit)
	}
	if err != nil {
		return nil, problem.New(problem.BadRequest, problem.NotRun, "body: %v", err)
	}
	return b, nil
}
