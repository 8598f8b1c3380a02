package entry

import (
	"io"
	"net/http"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

// headerForwarded marks a resume that another entry VM has passed on, so that
// it is passed on once only.
const headerForwarded = "Damask-Forwarded"

// forwardBufferBytes is the most that is read from the owner before it is
// passed on to the caller.
const forwardBufferBytes = 16 << 10

// noStream is the problem of a stream that is not kept.
func noStream(r *http.Request) error {
	return problem.New(problem.ResumeTooOld, problem.Unknown, "stream %q is not kept any more", r.PathValue("request"))
}

// resumeHost is the host of the URL at which this VM's streams are resumed.
func (s *Server) resumeHost() string {
	if s.sub.callers != "" {
		return s.sub.callers
	}
	return s.Addr()
}

// forwardResume passes a resume on to the entry VM that began the stream, since
// the load balancer sends a caller that comes back to any entry VM.
func (s *Server) forwardResume(w http.ResponseWriter, r *http.Request) error {
	id, err := ids.ParseRequestID(r.PathValue("request"))
	if err != nil || id.Session.VM == s.opts.VM || r.Header.Get(headerForwarded) != "" {
		return noStream(r)
	}
	owner, err := s.opts.Control.Locate(r.Context(), id.Session)
	if err != nil || owner == "" {
		return noStream(r)
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+owner+r.URL.Path, nil)
	if err != nil {
		return noStream(r)
	}
	for _, name := range []string{"Authorization", HeaderWorkspace, "Last-Event-ID"} {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(headerForwarded, string(s.opts.VM))
	resp, err := s.forwards.RoundTrip(req)
	if err != nil {
		return noStream(r)
	}
	defer func() { _ = resp.Body.Close() }()
	relay(w, resp)
	return nil
}

// relay copies a response and flushes what has arrived, so that events are not
// held back. A connection that ends early ends the caller's stream without its
// done event.
func relay(w http.ResponseWriter, resp *http.Response) {
	for _, name := range []string{"Content-Type", "Cache-Control", HeaderRequest, "Retry-After"} {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	rc := http.NewResponseController(w)
	buf := make([]byte, forwardBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if _, werr := w.Write(buf[:n]); werr != nil {
			return
		}
		if ferr := rc.Flush(); ferr != nil || err == io.EOF {
			return
		}
		if err != nil {
			// Aborts the caller's connection, so that a cut stream does not
			// look like one that ended in order.
			panic(http.ErrAbortHandler)
		}
	}
}
