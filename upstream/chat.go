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

// ChatRequest is a request to an engine for a chat completion. The client always
// requests a stream, so that progress is visible with each token.
type ChatRequest struct {
	Model     string
	Adapter   string
	Messages  []Message
	MaxTokens int
	Priority  string
	// SkipTokens is the number of tokens received by earlier attempts. The engine
	// resumes after them.
	SkipTokens int
}

// ChatResult holds what is known at the end of a completion.
type ChatResult struct {
	// LastPosition is the position of the last token received.
	LastPosition int
	// ReportedTokens is the number of completion tokens in the engine's usage
	// report, 0 if it sent none.
	ReportedTokens int
	PromptTokens   int
	CachedTokens   int
	Load           LoadReport
	WireBytes      int
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
	endMarker  = []byte("[DONE]")
)

// maxLineBytes is the maximum length of a line in an SSE stream.
const maxLineBytes = 64 << 10

// errIncomplete reports that a stream ended without an end marker that follows a
// finish reason.
var errIncomplete = errors.New("stream ended before its end marker")

// Chat streams one completion. It calls emit for each token, in order, with the
// token's position in the whole completion, counted from 1. An error of emit ends
// the call. A request may wait long in an engine's queue, so its connection has
// no progress timeout: the caller monitors the gaps between tokens and cancels
// ctx. Closing the connection cancels the engine's work.
func (c *Client) Chat(ctx context.Context, addr string, a Attempt, r ChatRequest, emit func(position int, text string) error) (ChatResult, error) {
	body, err := json.Marshal(chatBody{
		Model: r.Model, Messages: r.Messages, MaxTokens: r.MaxTokens, Adapter: r.Adapter,
		Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		return ChatResult{}, &Error{Cause: NotSent, Address: addr, Err: err}
	}
	h := jsonHeader()
	h.Set(HeaderPriority, r.Priority)
	if r.SkipTokens > 0 {
		h.Set(HeaderResumeTokens, strconv.Itoa(r.SkipTokens))
	}
	resp, err := c.open(ctx, callSpec{method: http.MethodPost, addr: addr, path: "/v1/chat/completions", header: h, body: body, attempt: a.String(), onWritten: a.OnWritten, newConnection: a.Number > 1, noProgressTimeout: true})
	if err != nil {
		return ChatResult{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return ChatResult{}, &Error{Cause: ErrorStatus, Address: addr, Status: resp.StatusCode}
	}
	end := ChatResult{Load: parseLoadHeader(resp.Header.Get(HeaderLoad)), WireBytes: len(body)}
	reader := &chatReader{body: bufio.NewReaderSize(resp.Body, maxLineBytes), position: r.SkipTokens, emit: emit}
	err = reader.readStream(&end)
	if err != nil {
		return end, c.streamError(ctx, addr, err)
	}
	return end, nil
}

// streamError converts an error during a stream to an *Error.
func (c *Client) streamError(ctx context.Context, addr string, err error) error {
	var stopped *emitError
	if errors.As(err, &stopped) {
		return &Error{Cause: Cancelled, Address: addr, Err: stopped.err}
	}
	if errors.Is(err, errMalformed) {
		return &Error{Cause: ResponseMismatch, Address: addr, Err: err}
	}
	return c.transportError(ctx, addr, err, true, c.sharedTransport(transportKey{addr: addr, noProgressTimeout: true}))
}

// errMalformed reports a stream that violates the protocol.
var errMalformed = errors.New("malformed stream")

// emitError wraps an error returned by the emit callback, to distinguish it from
// an error of the stream.
type emitError struct{ err error }

func (e *emitError) Error() string { return e.err.Error() }
func (e *emitError) Unwrap() error { return e.err }

// chatReader parses the SSE stream of one completion.
type chatReader struct {
	body     *bufio.Reader
	position int
	finished bool
	emit     func(position int, text string) error
}

// readStream reads up to the end marker and stores the outcome in end.
func (r *chatReader) readStream(end *ChatResult) error {
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
		if bytes.Equal(data, endMarker) {
			return r.finish(end)
		}
		if err := r.handleChunk(data, end); err != nil {
			return err
		}
	}
}

func (r *chatReader) handleChunk(data []byte, end *ChatResult) error {
	var chunk chatChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	if chunk.Usage != nil {
		if chunk.Usage.CompletionTokens < 0 || chunk.Usage.PromptTokens < 0 || chunk.Usage.Details.CachedTokens < 0 {
			return fmt.Errorf("%w: usage has a negative token count", errMalformed)
		}
		end.ReportedTokens = chunk.Usage.CompletionTokens
		end.PromptTokens = chunk.Usage.PromptTokens
		end.CachedTokens = chunk.Usage.Details.CachedTokens
	}
	if len(chunk.Choices) > 1 {
		// The request is for one completion. The tokens of several would be
		// mixed.
		return fmt.Errorf("%w: a chunk has %d choices, want 1", errMalformed, len(chunk.Choices))
	}
	for i := range chunk.Choices {
		if err := r.handleChoice(&chunk.Choices[i]); err != nil {
			return err
		}
	}
	return nil
}

func (r *chatReader) handleChoice(c *chatChoice) error {
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

// finish accepts the end marker only after a finish reason, because a proxy that
// lost its connection to the engine may still end the stream regularly.
func (r *chatReader) finish(end *ChatResult) error {
	if !r.finished {
		return errIncomplete
	}
	end.LastPosition = r.position
	return nil
}
