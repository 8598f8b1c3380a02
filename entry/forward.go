package entry

import (
	"io"
	"net/http"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

// headerForwarded marks a resume request that another entry VM has forwarded, so
// that it is forwarded only once.
const headerForwarded = "Damask-Forwarded"

// forwardBufferBytes is the size of the buffer for relaying a forwarded stream.
const forwardBufferBytes = 16 << 10

// streamGone returns the problem of a stream that is not kept.
func streamGone(r *http.Request) error {
	return problem.New(problem.ResumeTooOld, problem.Unknown, "stream %q is no longer available", r.PathValue("request"))
}

// resumeHost returns the host of the URL at which this VM's streams can be
// resumed.
func (s *Server) resumeHost() string {
	if s.subscriber.advertisedAddr != "" {
		return s.subscriber.advertisedAddr
	}
	return s.Addr()
}

// forwardResume forwards a resume request to the entry VM that owns the stream,
// since the load balancer may route a returning caller to any entry VM.
func (s *Server) forwardResume(w http.ResponseWriter, r *http.Request) error {
	id, err := ids.ParseRequestID(r.PathValue("request"))
	if err != nil || id.Session.VM == s.opts.VM || r.Header.Get(headerForwarded) != "" {
		return streamGone(r)
	}
	owner, err := s.opts.Control.Locate(r.Context(), id.Session)
	if err != nil || owner == "" {
		return streamGone(r)
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+owner+r.URL.Path, nil)
	if err != nil {
		return streamGone(r)
	}
	for _, name := range []string{"Authorization", HeaderWorkspace, "Last-Event-ID"} {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(headerForwarded, string(s.opts.VM))
	resp, err := s.forwardTransport.RoundTrip(req)
	if err != nil {
		return streamGone(r)
	}
	defer func() { _ = resp.Body.Close() }()
	relayResponse(w, resp)
	return nil
}

// relayResponse copies a response and flushes after each read, so that events
// are not delayed. If the connection fails, the caller's stream ends without its
// done event.
func relayResponse(w http.ResponseWriter, resp *http.Response) {
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
			// Abort the caller's connection, so that a truncated stream does
			// not look like one that ended normally.
			panic(http.ErrAbortHandler)
		}
	}
}
