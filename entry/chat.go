package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/stream"
	"damaskbridge.example/damaskbridge/upstream"
)

const (
	chatObject  = "chat.completion"
	chunkObject = "chat.completion.chunk"
	stopReason  = "stop"
)

// handleChat serves POST /v1/chat/completions. The model is the name of the
// pipeline.
func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) error {
	req, err := s.accept(r)
	if err != nil {
		return err
	}
	w.Header().Set(HeaderRequest, req.id.String())
	raw, err := readBody(req.tree, req.branch, w, r)
	if err != nil {
		return s.failRequest(req, err)
	}
	var in ChatRequest
	if err := json.Unmarshal(raw, &in); err != nil {
		return s.failRequest(req, req.problemf(problem.BadRequest, "body: %v", err))
	}
	if err := checkChat(req, &in); err != nil {
		return s.failRequest(req, err)
	}
	p, err := s.bindPipeline(req, r, in.Model)
	if err != nil {
		return s.failRequest(req, err)
	}
	if err := s.refuseDraining(req, true); err != nil {
		return s.failRequest(req, err)
	}
	e := newExecution(req, p)
	e.input = chatInput(in.Messages)
	e.messages = in.Messages
	e.maxTokens = max(in.MaxTokens, in.MaxCompletionTokens)
	if in.Stream {
		return s.streamChat(w, r, e, &in)
	}
	return s.answerChat(w, r, e, &in)
}

// chatInput returns the input of the stages before generation: the contents of
// all messages, so that a follow-up question keeps its context.
func chatInput(messages []upstream.Message) string {
	parts := make([]string, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// answerChat executes a pipeline and sends the completion in one response.
func (s *Server) answerChat(w http.ResponseWriter, r *http.Request, e *execution, in *ChatRequest) error {
	s.launch(r.Context(), e)
	var text strings.Builder
	if err := e.follow(r.Context(), 0, func(t stream.Token) error {
		text.WriteString(t.Text)
		return nil
	}); err != nil {
		return s.cancelAndWait(e, err)
	}
	stop := stopReason
	out := newChatResponse(e, in, chatObject)
	out.Choices = []ChatChoice{{Message: &ChatMessage{Role: "assistant", Content: text.String()}, FinishReason: &stop}}
	out.Usage = chatUsage(e)
	return writeJSON(w, http.StatusOK, out)
}

// streamChat executes a pipeline and streams the completion in chunks. The
// OpenAI protocol cannot resume a stream, so a caller that disconnects cancels
// the execution at once.
func (s *Server) streamChat(w http.ResponseWriter, r *http.Request, e *execution, in *ChatRequest) error {
	s.launch(r.Context(), e)
	var out *sseWriter
	err := e.follow(r.Context(), 0, func(t stream.Token) error {
		if out == nil {
			out = newSSEWriter(w)
		}
		return out.data(newChatChunk(e, in, t.Text))
	})
	if err != nil && out == nil {
		return s.cancelAndWait(e, err)
	}
	if err != nil {
		err = s.cancelAndWait(e, err)
		if p, ok := problem.As(err); ok {
			_ = out.data(chatError{Error: p})
		}
		return nil
	}
	if out == nil {
		out = newSSEWriter(w)
	}
	stop := stopReason
	last := newChatResponse(e, in, chunkObject)
	last.Choices = []ChatChoice{{Delta: &ChatMessage{}, FinishReason: &stop}}
	_ = out.data(last)
	if in.StreamOptions != nil && in.StreamOptions.IncludeUsage {
		usage := newChatResponse(e, in, chunkObject)
		usage.Choices = []ChatChoice{}
		usage.Usage = chatUsage(e)
		_ = out.data(usage)
	}
	_ = out.write([]byte("data: [DONE]\n\n"))
	return nil
}

// chatError is the last event of a failed stream; no [DONE] follows it.
type chatError struct {
	Error *problem.Problem `json:"error"`
}

func newChatResponse(e *execution, in *ChatRequest, object string) ChatResponse {
	return ChatResponse{ID: "chatcmpl-" + e.req.id.String(), Object: object, Created: e.req.started.Unix(), Model: in.Model}
}

func newChatChunk(e *execution, in *ChatRequest, text string) ChatResponse {
	out := newChatResponse(e, in, chunkObject)
	out.Choices = []ChatChoice{{Delta: &ChatMessage{Role: "assistant", Content: text}}}
	return out
}

func chatUsage(e *execution) *ChatUsage {
	u := e.usage
	return &ChatUsage{PromptTokens: u.PromptTokens, CompletionTokens: u.LastPosition, TotalTokens: u.PromptTokens + u.LastPosition}
}

// handleModels serves GET /v1/models with the workspace's pipelines.
func (s *Server) handleModels(w http.ResponseWriter, r *http.Request) error {
	_, ws, err := s.resolveCaller(r)
	if err != nil {
		return err
	}
	list := ModelList{Object: "list", Data: []Model{}}
	for _, name := range ws.Pipelines {
		list.Data = append(list.Data, Model{ID: name, Object: "model", Created: s.started.Unix(), OwnedBy: "damaskbridge"})
	}
	return writeJSON(w, http.StatusOK, list)
}
