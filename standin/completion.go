package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"damaskbridge.example/damaskbridge/standin/content"
)

// completion sends one sequence to its caller.
type completion struct {
	engine   *Engine
	request  chatRequest
	sequence *sequence
}

// next waits for a token. It is false at the end; a call whose caller has gone
// or that was cancelled is aborted.
func (c *completion) next() (string, bool) {
	s := c.sequence
	select {
	case token, ok := <-s.out:
		return token, ok
	default:
	}
	select {
	case token, ok := <-s.out:
		return token, ok
	case <-s.ctx.Done():
	case <-s.cancelled:
	case <-c.engine.done:
	}
	panic(http.ErrAbortHandler)
}

// awaitPause waits while FaultPause holds back the token at position. A call whose
// caller has gone or that was cancelled is aborted.
func (c *completion) awaitPause(position int) {
	for {
		paused, changed := c.engine.faults.pausedAt(position)
		if !paused {
			return
		}
		select {
		case <-changed:
			continue
		case <-c.sequence.ctx.Done():
		case <-c.sequence.cancelled:
		case <-c.engine.done:
		}
		c.engine.journal.update(func(n *Counters) { n.PausedGone++ })
		panic(http.ErrAbortHandler)
	}
}

func (c *completion) serveWhole(w http.ResponseWriter, r *http.Request) {
	for {
		if _, ok := c.next(); !ok {
			break
		}
	}
	text := strings.Join(c.sequence.tokens[c.sequence.resume:], "")
	stop := "stop"
	body := c.body("chat.completion", chatChoice{
		Message:      &content.Message{Role: "assistant", Content: text},
		FinishReason: &stop,
	})
	body.Usage = c.usage()
	c.engine.deliver(w, r, jsonResponse(http.StatusOK, body))
}

// serveStream sends one chunk for each token. While responses are swapped, the
// stream is collected and delivered as a whole.
func (c *completion) serveStream(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.engine.faults.get(FaultSwap); ok {
		c.serveCollected(w, r)
		return
	}
	if f, ok := c.engine.faults.take(FaultLate); ok {
		c.engine.pause(noCancel(r), f.delay())
	}
	die, dies := c.engine.faults.take(FaultDie)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	sent := 0
	for {
		if dies && sent >= die.AfterTokens {
			panic(http.ErrAbortHandler)
		}
		c.awaitPause(c.sequence.resume + sent + 1)
		token, ok := c.next()
		if !ok {
			break
		}
		if _, err := w.Write(c.tokenChunk(token)); err != nil {
			panic(http.ErrAbortHandler)
		}
		sent++
		_ = control.Flush()
	}
	// The caller may be gone; there is no one left to tell.
	_, _ = w.Write(c.lastChunk())
}

func (c *completion) serveCollected(w http.ResponseWriter, r *http.Request) {
	var b bytes.Buffer
	for {
		token, ok := c.next()
		if !ok {
			break
		}
		b.Write(c.tokenChunk(token))
	}
	b.Write(c.lastChunk())
	h := http.Header{}
	h.Set("Content-Type", "text/event-stream")
	c.engine.deliver(w, r, response{status: http.StatusOK, header: h, body: b.Bytes()})
}

func (c *completion) tokenChunk(token string) []byte {
	return sseData(c.body("chat.completion.chunk", chatChoice{Delta: &chatDelta{Content: token}}))
}

func (c *completion) lastChunk() []byte {
	stop := "stop"
	body := c.body("chat.completion.chunk", chatChoice{Delta: &chatDelta{}, FinishReason: &stop})
	body.Usage = c.usage()
	return append(sseData(body), "data: [DONE]\n\n"...)
}

func (c *completion) body(object string, choice chatChoice) chatBody {
	return chatBody{
		ID:      "chatcmpl-" + strings.ReplaceAll(c.sequence.attempt, "/", "-"),
		Object:  object,
		Created: c.engine.Now().Unix(),
		Model:   c.request.Model,
		Choices: []chatChoice{choice},
	}
}

// usage is for a sequence that has ended; the engine's loop no longer changes
// it.
func (c *completion) usage() *chatUsage {
	s := c.sequence
	u := &chatUsage{PromptTokens: s.prompt, CompletionTokens: len(s.tokens)}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.PromptTokensDetails.CachedTokens = s.cached
	return u
}

func sseData(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// Only values of this package's own types are passed in.
		panic(err)
	}
	return append(append([]byte("data: "), data...), "\n\n"...)
}
