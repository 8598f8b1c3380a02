package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"damaskbridge.example/damaskbridge/admission"
	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

// Headers of callers' requests and of responses to them.
const (
	// HeaderDeadline is how long the caller waits, in milliseconds.
	HeaderDeadline = "Damask-Deadline-Ms"
	// HeaderPriority is "interactive", "normal" or "batch".
	HeaderPriority = "Damask-Priority"
	// HeaderRequest carries the request ID in responses.
	HeaderRequest = "Damask-Request"
	// HeaderReplayed marks a stored response to an earlier request with the
	// same key.
	HeaderReplayed = "Damask-Replayed"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderResumeURL is the URL at which a stream can be resumed.
	HeaderResumeURL = "Damask-Resume-Url"
)

// requestDeadline returns the caller's deadline. It defaults to the branch's
// setting and is capped at the branch's maximum.
func requestDeadline(tree *settings.Tree, branch string, r *http.Request, now time.Time) (time.Time, error) {
	maxWait := tree.Duration(branch, settings.DeadlineMax)
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return now.Add(min(tree.Duration(branch, settings.DeadlineDefault), maxWait)), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, problem.New(problem.BadRequest, problem.NotRun, "%s is %q, want milliseconds", HeaderDeadline, text)
	}
	if ms <= 0 {
		return time.Time{}, problem.New(problem.DeadlinePassed, problem.NotRun, "%s is %d", HeaderDeadline, ms)
	}
	wait := maxWait
	if ms < maxWait.Milliseconds() {
		wait = time.Duration(ms) * time.Millisecond
	}
	return now.Add(wait), nil
}

// requestPriority returns the caller's priority. It defaults to the branch's
// setting.
func requestPriority(tree *settings.Tree, branch string, r *http.Request) (admission.Priority, error) {
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

// roomKey is the context key of the room that a request's body takes.
type roomKey struct{}

// fullRetryDelay is when a caller may come back whose body found no room.
const fullRetryDelay = time.Second

// readBody reads the request body up to the branch's size limit. Its room is held
// until the end of the request.
func readBody(tree *settings.Tree, branch string, w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := int64(tree.Int(branch, settings.BodyMaxBytes))
	room, _ := r.Context().Value(roomKey{}).(*buffers.Account)
	control := http.NewResponseController(w)
	if control.SetReadDeadline(time.Now().Add(tree.Duration(branch, settings.DeadlineMax))) == nil {
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	b, err := io.ReadAll(room.Reader(http.MaxBytesReader(w, r.Body, limit)))
	var full *buffers.FullError
	if errors.As(err, &full) {
		return nil, problem.New(problem.Overloaded, problem.NotRun, "%v", full).WithRetryAfter(fullRetryDelay)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(problem.BodyTooLarge, problem.NotRun, "the limit is %d bytes", limit)
	}
	if err != nil {
		return nil, problem.New(problem.BadRequest, problem.NotRun, "body: %v", err)
	}
	return b, nil
}
