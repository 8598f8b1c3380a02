package gateway

import (
	"maps"
	"net/http"
	"strconv"
	"time"
)

// HTTPResponder answers one caller over HTTP. It is not safe for concurrent use.
type HTTPResponder struct {
	w http.ResponseWriter
	// own holds the headers of answers that come from no runner.
	own     http.Header
	aborted bool
}

var _ Responder = (*HTTPResponder)(nil)

// NewHTTPResponder returns a responder that answers by w. Answers that come from no
// runner have the headers own.
func NewHTTPResponder(w http.ResponseWriter, own http.Header) *HTTPResponder {
	return &HTTPResponder{w: w, own: own}
}

// Aborted reports whether the connection must be closed without a proper end.
func (r *HTTPResponder) Aborted() bool { return r.aborted }

// Respond sends a runner's answer unchanged.
func (r *HTTPResponder) Respond(status int, header http.Header, body *Body) error {
	r.copyHeader(header)
	if n := body.Len(); n > 0 {
		r.w.Header().Set("Content-Length", strconv.Itoa(n))
	}
	r.w.WriteHeader(status)
	_, err := body.WriteTo(r.w)
	return err
}

// Stream begins a runner's answer.
func (r *HTTPResponder) Stream(status int, header http.Header) (EventWriter, error) {
	r.copyHeader(header)
	r.w.WriteHeader(status)
	return &eventWriter{responder: r, w: r.w, control: http.NewResponseController(r.w)}, nil
}

func (r *HTTPResponder) copyHeader(header http.Header) {
	out := r.w.Header()
	for name, values := range header {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		// Without it net/http would guess one.
		out["Content-Type"] = nil
	}
}

// Refuse sends a status that promises no more than the refusal does.
func (r *HTTPResponder) Refuse(refusal *Refusal) {
	if refusal.Reason == CallerLeft {
		// Nobody reads an answer.
		r.aborted = true
		return
	}
	maps.Copy(r.w.Header(), r.own)
	if refusal.RetryAfter > 0 {
		r.w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 2, 64))
	}
	http.Error(r.w, string(refusal.Reason), statusOf(refusal))
}

func statusOf(refusal *Refusal) int {
	switch refusal.Reason {
	case NoRoute:
		return http.StatusNotFound
	case UnknownKey:
		return http.StatusUnauthorized
	case TooManyPieces:
		return http.StatusBadRequest
	case TimedOut:
		return http.StatusGatewayTimeout
	}
	if refusal.Executed {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// eventWriter passes events on as they come.
type eventWriter struct {
	responder *HTTPResponder
	w         http.ResponseWriter
	control   *http.ResponseController
}

// writeLimit is how long a caller may take no byte of a stream.
const writeLimit = 10 * time.Second

// Write writes whole events and flushes them.
func (e *eventWriter) Write(events []byte) error {
	if err := e.control.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return err
	}
	if len(events) > 0 {
		if _, err := e.w.Write(events); err != nil {
			return err
		}
	}
	return e.control.Flush()
}

// Abort has the connection closed without the end of the answer.
func (e *eventWriter) Abort() { e.responder.aborted = true }
