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

// resumeGrace is how long a stream whose caller is gone goes on before it is
// cancelled, so that the caller can come back with Last-Event-ID.
const resumeGrace = 2 * time.Second

// handlePipeline answers POST /v1/pipelines/{name}.
func (s *Server) handlePipeline(w http.ResponseWriter, r *http.Request) error {
	q, err := s.accept(r)
	if err != nil {
		return err
	}
	w.Header().Set(HeaderRequest, q.id.String())
	p, err := s.bindPipeline(q, r, r.PathValue("name"))
	if err != nil {
		return s.refuse(q, err)
	}
	raw, err := body(q.tree, q.branch, w, r)
	if err != nil {
		return s.refuse(q, err)
	}
	var in PipelineRequest
	if err := json.Unmarshal(raw, &in); err != nil {
		return s.refuse(q, q.fail(problem.BadRequest, "body: %v", err))
	}
	if err := checkMaxTokens(q, "max_tokens", in.MaxTokens); err != nil {
		return s.refuse(q, err)
	}
	e := newExecution(q, p)
	e.input = in.Input
	e.messages = []upstream.Message{{Role: "user", Content: in.Input}}
	e.maxTokens = in.MaxTokens
	if in.Stream {
		return s.streamNative(w, r, e)
	}
	return s.answerNative(w, r, e)
}

// bindPipeline looks the pipeline up and binds the request to it.
func (s *Server) bindPipeline(q *request, r *http.Request, name string) (*settings.Pipeline, error) {
	p, ok := q.tree.Pipeline(name)
	if !ok {
		return nil, q.fail(problem.UnknownPipeline, "pipeline %q", name)
	}
	if !slices.Contains(q.workspace.Pipelines, name) {
		return nil, q.fail(problem.Forbidden, "pipeline %q is not bound to workspace %q", name, q.workspace.Name)
	}
	return p, q.bind(r, name)
}

// answerNative executes a pipeline and sends its output in one piece.
func (s *Server) answerNative(w http.ResponseWriter, r *http.Request, e *execution) error {
	s.launch(r.Context(), e)
	var text strings.Builder
	if err := e.follow(r.Context(), 0, func(t stream.Token) error {
		text.WriteString(t.Text)
		return nil
	}); err != nil {
		return s.callerError(e, err)
	}
	out := PipelineResponse{
		Request: e.q.id.String(), Output: text.String(), Complete: true,
		Stages: e.reports, CrossRegionBytes: int(e.q.crossRegionBytes.Load()),
	}
	return writeJSON(w, http.StatusOK, out)
}

// callerError waits for the end of a failed execution, so that its problem has
// the final execution state.
func (s *Server) callerError(e *execution, err error) error {
	e.cancel(err)
	<-e.done
	if e.err != nil {
		return e.err
	}
	return err
}

// streamNative executes a pipeline and streams its tokens. The stream can be
// resumed at this VM while it is kept.
func (s *Server) streamNative(w http.ResponseWriter, r *http.Request, e *execution) error {
	s.streams.add(e)
	s.launch(context.WithoutCancel(r.Context()), e)
	go s.cancelAbandoned(e)
	w.Header().Set(HeaderResumeURL, "http://"+s.resumeHost()+"/v1/streams/"+e.q.id.String())
	return s.sendStream(w, r, e, 0)
}

// handleResume answers GET /v1/streams/{request}.
func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) error {
	snap := s.sub.snapshot()
	if !snap.current(time.Now()) {
		return problem.New(problem.SettingsStale, problem.Unknown, "the settings lease has run out")
	}
	ws, err := authenticate(snap.tree, r)
	if err != nil {
		return err
	}
	from, err := lastEvent(r)
	if err != nil {
		return err
	}
	e, ok := s.streams.find(r.PathValue("request"))
	if !ok {
		return s.forwardResume(w, r)
	}
	if e.q.workspace.Name != ws.Name {
		return noStream(r)
	}
	if from, err = e.resumeFrom(from); err != nil {
		return err
	}
	return s.sendStream(w, r, e, from)
}

// resumeFrom checks that the event was sent. A caller that names a later one
// would miss the tokens up to it and still get the end of a complete stream.
func (e *execution) resumeFrom(event uint64) (uint64, error) {
	if event == 0 {
		return 0, nil
	}
	tokens, end, _, err := e.tokens.Read(event - 1)
	switch {
	case err != nil || len(tokens) > 0:
		// An event that has left the buffer is reported by follow.
		return event, nil
	case end != nil && event == end.Count+1:
		// The event of the end itself; it is sent again.
		return end.Count, nil
	default:
		return 0, problem.New(problem.BadRequest, problem.Unknown, "Last-Event-ID is %d and the stream has not come to it", event).For(e.q.id.String())
	}
}

func lastEvent(r *http.Request) (uint64, error) {
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

// sendStream sends the events above from. A problem before the first event is
// an HTTP error; a later one is an event, so that the caller never takes the
// stream for complete.
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
		s.endBroken(out, int(last), e, err)
		return nil
	}
	_ = out.event(int(last)+1, "done", s.doneEvent(e))
	return nil
}

// endBroken sends the problem that ended a stream, if the caller is there.
func (s *Server) endBroken(out *sseWriter, last int, e *execution, err error) {
	p, ok := problem.As(err)
	if !ok {
		return
	}
	_ = out.event(last, "error", p)
}

func (s *Server) doneEvent(e *execution) DoneEvent {
	d := DoneEvent{
		Complete: true, Request: e.q.id.String(), Stages: e.reports,
		CrossRegionBytes: int(e.q.crossRegionBytes.Load()),
	}
	if _, end, _, _ := e.tokens.Read(e.reader.Load()); end != nil {
		d.Count = int(end.Count)
		d.SHA256 = end.SHA256
	}
	return d
}

// cancelAbandoned ends an execution that no caller has followed for the grace
// time, so that engines don't generate tokens that no caller reads.
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
			e.cancel(problem.New(problem.CallerGone, problem.Unknown, "no caller has followed the stream"))
			return
		}
		idle = true
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone; the request is accounted for already.
	_ = json.NewEncoder(w).Encode(v)
	return nil
}
