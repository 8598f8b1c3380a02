package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/stream"
	"damaskbridge.example/damaskbridge/upstream"
)

// resumeGrace is the interval at which streams are checked for a caller. A stream
// without one at two checks in a row is cancelled; until then its caller can
// resume it with Last-Event-ID.
const resumeGrace = 2 * time.Second

// handlePipeline serves POST /v1/pipelines/{name}.
func (s *Server) handlePipeline(w http.ResponseWriter, r *http.Request) error {
	req, err := s.accept(r)
	if err != nil {
		return err
	}
	w.Header().Set(HeaderRequest, req.id.String())
	p, err := s.bindPipeline(req, r, r.PathValue("name"))
	if err != nil {
		return s.failRequest(req, err)
	}
	raw, err := readBody(req.tree, req.branch, w, r)
	if err != nil {
		return s.failRequest(req, err)
	}
	var in PipelineRequest
	if err := json.Unmarshal(raw, &in); err != nil {
		return s.failRequest(req, req.problemf(problem.BadRequest, "body: %v", err))
	}
	if err := checkMaxTokens(req, "max_tokens", in.MaxTokens); err != nil {
		return s.failRequest(req, err)
	}
	if err := s.refuseDraining(req, true); err != nil {
		return s.failRequest(req, err)
	}
	e := newExecution(req, p)
	e.input = in.Input
	e.messages = []upstream.Message{{Role: "user", Content: in.Input}}
	e.maxTokens = in.MaxTokens
	if in.Stream {
		return s.streamPipeline(w, r, e)
	}
	return s.answerPipeline(w, r, e)
}

// bindPipeline looks up the pipeline, checks that the workspace may use it and
// binds the request to it.
func (s *Server) bindPipeline(req *request, r *http.Request, name string) (*settings.Pipeline, error) {
	p, ok := req.tree.Pipeline(name)
	if !ok {
		return nil, req.problemf(problem.UnknownPipeline, "pipeline %q", name)
	}
	if !slices.Contains(req.workspace.Pipelines, name) {
		return nil, req.problemf(problem.Forbidden, "pipeline %q is not bound to workspace %q", name, req.workspace.Name)
	}
	return p, req.bindTarget(r, name)
}

// answerPipeline executes a pipeline and sends its output in one response.
func (s *Server) answerPipeline(w http.ResponseWriter, r *http.Request, e *execution) error {
	s.launch(r.Context(), e)
	var text strings.Builder
	if err := e.follow(r.Context(), 0, func(t stream.Token) error {
		text.WriteString(t.Text)
		return nil
	}); err != nil {
		return s.cancelAndWait(e, err)
	}
	out := PipelineResponse{
		Request: e.req.id.String(), Output: text.String(), Complete: true,
		Stages: e.stageReports, CrossRegionBytes: int(e.req.crossRegionBytes.Load()),
	}
	return writeJSON(w, http.StatusOK, out)
}

// cancelAndWait cancels an execution with err, waits for its end and returns its
// error, so that the problem has the final execution state.
func (s *Server) cancelAndWait(e *execution, err error) error {
	e.cancel(err)
	<-e.done
	if e.err != nil {
		return e.err
	}
	return err
}

// streamPipeline executes a pipeline and streams its tokens. The stream can be
// resumed until its resume retention has passed.
func (s *Server) streamPipeline(w http.ResponseWriter, r *http.Request, e *execution) error {
	s.streams.add(e)
	s.launch(context.WithoutCancel(r.Context()), e)
	go s.cancelAbandoned(e)
	w.Header().Set(HeaderResumeURL, "http://"+s.resumeHost()+"/v1/streams/"+e.req.id.String())
	return s.sendStream(w, r, e, 0)
}

// handleResume serves GET /v1/streams/{request}.
func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) error {
	snap := s.subscriber.snapshot()
	if !snap.current(time.Now()) {
		return problem.New(problem.SettingsStale, problem.Unknown, "the settings lease has expired")
	}
	ws, err := authenticate(snap.tree, r)
	if err != nil {
		return err
	}
	from, err := lastEventID(r)
	if err != nil {
		return err
	}
	e, ok := s.streams.find(r.PathValue("request"))
	if !ok {
		return s.forwardResume(w, r)
	}
	if e.req.workspace.Name != ws.Name {
		return streamGone(r)
	}
	if from, err = e.checkResumePoint(from); err != nil {
		return err
	}
	return s.sendStream(w, r, e, from)
}

// checkResumePoint returns the token number after which to resume, and an error
// if the event was not sent yet. Otherwise, a caller that names a later event
// would miss the tokens before it and still see a complete stream.
func (e *execution) checkResumePoint(event uint64) (uint64, error) {
	if event == 0 {
		return 0, nil
	}
	tokens, end, _, err := e.tokens.Read(event - 1)
	switch {
	case err != nil || len(tokens) > 0:
		// follow reports an event that is no longer buffered.
		return event, nil
	case end != nil && event == end.Count+1:
		// This is the done event, which is sent again.
		return end.Count, nil
	default:
		return 0, problem.New(problem.BadRequest, problem.Unknown, "Last-Event-ID is %d, which the stream has not reached", event).WithInstance(e.req.id.String())
	}
}

// lastEventID returns the number in the Last-Event-ID header, 0 if there is none.
func lastEventID(r *http.Request) (uint64, error) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, problem.New(problem.BadRequest, problem.Unknown, "Last-Event-ID %q is not a number", text)
	}
	return n, nil
}

// sendStream sends the events after from. A problem before the first event is
// returned as an HTTP error. A later one is sent as an event, so that the caller
// never mistakes the stream for complete.
func (s *Server) sendStream(w http.ResponseWriter, r *http.Request, e *execution, from uint64) error {
	var out *sseWriter
	last := from
	err := e.follow(r.Context(), from, func(t stream.Token) error {
		if out == nil {
			out = newSSEWriter(w)
		}
		last = t.Number
		return out.event(int(t.Number), "token", TokenEvent{Text: t.Text})
	})
	if err != nil && out == nil {
		return err
	}
	if out == nil {
		out = newSSEWriter(w)
	}
	if err != nil {
		s.sendError(out, int(last), e, err)
		return nil
	}
	_ = out.event(int(last)+1, "done", s.doneEvent(e))
	return nil
}

// sendError sends the problem that ended a stream. An error that is not a
// problem means that the caller is gone.
func (s *Server) sendError(out *sseWriter, last int, e *execution, err error) {
	p, ok := problem.As(err)
	if !ok {
		return
	}
	_ = out.event(last, "error", p)
}

func (s *Server) doneEvent(e *execution) DoneEvent {
	d := DoneEvent{
		Complete: true, Request: e.req.id.String(), Stages: e.stageReports,
		CrossRegionBytes: int(e.req.crossRegionBytes.Load()),
	}
	if _, end, _, _ := e.tokens.Read(e.lastRead.load()); end != nil {
		d.Count = int(end.Count)
		d.SHA256 = end.SHA256
	}
	return d
}

// cancelAbandoned cancels an execution that no caller reads for a full
// resumeGrace, so that engines don't generate unread tokens.
func (s *Server) cancelAbandoned(e *execution) {
	tick := time.NewTicker(resumeGrace)
	defer tick.Stop()
	idle := false
	for {
		select {
		case <-e.done:
			return
		case <-tick.C:
		}
		if e.followers.Load() > 0 {
			idle = false
			continue
		}
		if idle {
			e.cancel(problem.New(problem.CallerDisconnected, problem.Unknown, "no caller is reading the stream"))
			return
		}
		idle = true
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone; the end record is already written.
	_ = json.NewEncoder(w).Encode(v)
	return nil
}
