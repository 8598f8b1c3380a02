package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest asks an engine for a completion. The client always streams from
// the engine, so that progress is visible for each token.
type ChatRequest struct {
	Model     string
	Adapter   string
	Messages  []Message
	MaxTokens int
	Priority  string
	// SkipTokens is the number of tokens already received; the engine starts
	// after them.
	SkipTokens int
}

// ChatEnd is what an engine says at the end of a completion.
type ChatEnd struct {
	// Tokens is the position of the last token received.
	Tokens int
	// Reported is the engine's own count of the completion, 0 if it gave none.
	Reported     int
	PromptTokens int
	CachedTokens int
	Load         LoadReport
	WireBytes    int
}

type chatBody struct {
	Model         string        `json:"model"`
	Messages      []Message     `json:"messages"`
	MaxTokens     int           `json:"max_tokens,omitempty"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	Adapter       string        `json:"adapter,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatChunk struct {
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage"`
}

type chatChoice struct {
	Delta        chatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type chatDelta struct {
	Content string `json:"content"`
}

type chatUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// maxLineBytes limits one line of an SSE stream.
const maxLineBytes = 64 << 10

// errIncomplete is a stream that ended without its end marker.
var errIncomplete = errors.New("stream ended before its end marker")

// Chat streams one completion. A request may wait long in an engine's queue, so
// its connection has no progress timeout; the caller judges the gaps between
// tokens and ends ctx. It calls emit for each token, in order, with
// the token's position in the whole completion, counted from 1. An error of
// emit ends the call. Closing the connection cancels the engine's work.
func (c *Client) Chat(ctx context.Context, addr string, a Attempt, r ChatRequest, emit func(position int, text string) error) (ChatEnd, error) {
	body, err := json.Marshal(chatBody{
		Model: r.Model, Messages: r.Messages, MaxTokens: r.MaxTokens, Adapter: r.Adapter,
		Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		return ChatEnd{}, &Error{Cause: NotSent, Address: addr, Err: err}
	}
	h := jsonHeader()
	h.Set(HeaderPriority, r.Priority)
	if r.SkipTokens > 0 {
		h.Set(HeaderResume, strconv.Itoa(r.SkipTokens))
	}
	resp, err := c.open(ctx, call{method: http.MethodPost, addr: addr, path: "/v1/chat/completions", header: h, body: body, attempt: a.String(), fresh: a.Number > 1, patient: true})
	if err != nil {
		return ChatEnd{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return ChatEnd{}, &Error{Cause: Status, Address: addr, Status: resp.StatusCode}
	}
	end := ChatEnd{Load: parseLoadHeader(resp.Header.Get(HeaderLoad)), WireBytes: len(body)}
	reader := &chatReader{body: bufio.NewReaderSize(resp.Body, maxLineBytes), position: r.SkipTokens, emit: emit}
	err = reader.run(&end)
	if err != nil {
		return end, c.chatFailed(ctx, addr, err)
	}
	return end, nil
}

// chatFailed classifies an error in the middle of a stream.
func (c *Client) chatFailed(ctx context.Context, addr string, err error) error {
	var stopped *emitError
	if errors.As(err, &stopped) {
		return &Error{Cause: Cancelled, Address: addr, Err: stopped.err}
	}
	if errors.Is(err, errMalformed) {
		return &Error{Cause: Mismatch, Address: addr, Err: err}
	}
	return c.failed(ctx, addr, err, true, c.shared(route{addr: addr, patient: true}))
}

// errMalformed is a stream that does not follow the protocol.
var errMalformed = errors.New("malformed stream")

// emitError wraps an error of the consumer of tokens.
type emitError struct{ err error }

func (e *emitError) Error() string { return e.err.Error() }
func (e *emitError) Unwrap() error { return e.err }

// chatReader reads one SSE stream.
type chatReader struct {
	body     *bufio.Reader
	position int
	finished bool
	emit     func(position int, text string) error
}

// run reads until the end marker.
func (r *chatReader) run(end *ChatEnd) error {
	for {
		line, err := r.body.ReadSlice('\n')
		end.WireBytes += len(line)
		if errors.Is(err, io.EOF) {
			return errIncomplete
		}
		if err != nil {
			return err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMark) {
			return r.done(end)
		}
		if err := r.chunk(data, end); err != nil {
			return err
		}
	}
}

func (r *chatReader) chunk(data []byte, end *ChatEnd) error {
	var k chatChunk
	if err := json.Unmarshal(data, &k); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	if k.Usage != nil {
		if k.Usage.CompletionTokens < 0 || k.Usage.PromptTokens < 0 || k.Usage.Details.CachedTokens < 0 {
			return fmt.Errorf("%w: usage counts fewer than 0 tokens", errMalformed)
		}
		end.Reported = k.Usage.CompletionTokens
		end.PromptTokens = k.Usage.PromptTokens
		end.CachedTokens = k.Usage.Details.CachedTokens
	}
	if len(k.Choices) > 1 {
		// One completion is asked for; the tokens of two would be mixed.
		return fmt.Errorf("%w: a chunk has %d choices, want 1", errMalformed, len(k.Choices))
	}
	for i := range k.Choices {
		if err := r.choice(&k.Choices[i]); err != nil {
			return err
		}
	}
	return nil
}

func (r *chatReader) choice(c *chatChoice) error {
	if c.Delta.Content != "" {
		if r.finished {
			return fmt.Errorf("%w: a token follows the finish reason", errMalformed)
		}
		r.position++
		if err := r.emit(r.position, c.Delta.Content); err != nil {
			return &emitError{err}
		}
	}
	if c.FinishReason != nil {
		r.finished = true
	}
	return nil
}

// done accepts the end marker only after a finish reason, because a proxy that
// loses the engine may still close the stream in an orderly way.
func (r *chatReader) done(end *ChatEnd) error {
	if !r.finished {
		return errIncomplete
	}
	end.Tokens = r.position
	return nil
}
