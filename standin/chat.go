package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"damaskbridge.example/damaskbridge/standin/content"
)

// chatRequest is the part of a chat completion request that the engine reads.
type chatRequest struct {
	Model               string            `json:"model"`
	Adapter             string            `json:"adapter"`
	Messages            []content.Message `json:"messages"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Stream              bool              `json:"stream"`
}

func (r chatRequest) limit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

type chatUsage struct {
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens counts the whole completion, including the tokens
	// before a resume offset.
	CompletionTokens    int `json:"completion_tokens"`
	TotalTokens         int `json:"total_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatChoice struct {
	Index        int              `json:"index"`
	Delta        *chatDelta       `json:"delta,omitempty"`
	Message      *content.Message `json:"message,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

// chatBody is a completion or one chunk of it.
type chatBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		e.reject(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if len(req.Messages) == 0 {
		e.reject(w, http.StatusBadRequest, "invalid_request_error", "messages must not be empty")
		return
	}
	if message := e.orders.missing(req.Model, req.Adapter); message != "" {
		e.reject(w, http.StatusNotFound, "not_found", message)
		return
	}
	s, message := newSequence(r, req)
	if s == nil {
		e.reject(w, http.StatusBadRequest, "invalid_request_error", message)
		return
	}
	if !e.submit(s) {
		w.Header().Set("Retry-After", "1")
		e.reject(w, http.StatusTooManyRequests, "overloaded", "the queue is full")
		return
	}
	c := &completion{engine: e, request: req, sequence: s}
	if req.Stream {
		c.serveStream(w, r)
		return
	}
	c.serveWhole(w, r)
}

// newSequence makes the sequence of a request, or gives a message that says
// what is wrong with it.
func newSequence(r *http.Request, req chatRequest) (*sequence, string) {
	tokens := content.Tokens(req.Messages, req.limit())
	resume := 0
	if text := r.Header.Get(HeaderResume); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > len(tokens) {
			return nil, HeaderResume + " must be from 0 to the completion's length"
		}
		resume = n
	}
	prompt := content.Prompt(req.Messages)
	return &sequence{
		ctx:       r.Context(),
		attempt:   r.Header.Get(HeaderAttempt),
		rank:      rankOf(r.Header.Get(HeaderPriority)),
		tokens:    tokens,
		resume:    resume,
		next:      resume,
		chain:     content.PrefixChain(prompt),
		prompt:    content.PromptTokens(prompt),
		out:       make(chan string, len(tokens)+1),
		cancelled: make(chan struct{}),
	}, ""
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	attempt := r.PathValue("request") + "/" + r.PathValue("stage") + "/" + r.PathValue("attempt")
	writeJSON(w, http.StatusOK, struct {
		Cancelled bool `json:"cancelled"`
	}{e.cancel(attempt)})
}
