package entry

import (
	"context"
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

// errStalled ends an attempt whose engine has sent nothing for too long.
var errStalled = errors.New("the engine sent no token within the allowed gap")

// generation is one attempt's result at a generate stage.
type generation struct {
	end   upstream.ChatEnd
	first time.Duration
}

func (g generation) wire() int                 { return g.end.WireBytes }
func (g generation) served() time.Duration     { return g.first }
func (g generation) load() upstream.LoadReport { return g.end.Load }

// generate runs a generate stage. A failed attempt is followed by one that
// starts a little before the last token received; the overlap shows whether the
// next engine continues the same completion.
func (s *Server) generate(ctx context.Context, e *execution, st settings.Stage, prior string, p *place, report *StageReport) error {
	req := upstream.ChatRequest{
		Model:     st.Model,
		Adapter:   st.Adapter,
		Messages:  e.prompt(prior),
		MaxTokens: e.maxTokens,
		Priority:  e.q.priority.String(),
	}
	first := firstTokenKey(st, req.Messages)
	grant := s.times.Plan([]budget.Key{first}, time.Until(e.q.deadline), time.Now()).Grants[0]
	// The grant is that of the first token alone; the whole stage may go on
	// until the deadline.
	grant.CancelAfter = 0
	work := stageWork{grant: grant, prefix: upstream.PrefixChain(req.Messages), bytes: int64(promptBytes(req.Messages))}
	g, err := attempts(ctx, s, e.q, st, work, report, func(ctx context.Context, addr string, a upstream.Attempt, progress func()) (generation, error) {
		return s.chat(ctx, e, addr, a, req, func(first time.Duration) {
			p.progress(first)
			progress()
		})
	})
	if err == nil && g.first > 0 {
		s.times.Observe(first, g.first, time.Now())
	}
	e.usage = g.end
	report.first = g.first
	report.CostUnits = float64(g.end.PromptTokens-g.end.CachedTokens) + float64(g.end.Tokens)
	return err
}

// firstTokenKey names the distribution of the time to the first token, by the
// size of the prompt.
func firstTokenKey(st settings.Stage, messages []upstream.Message) budget.Key {
	return budget.Key{Stage: st.Pool + "/first_token", Class: budget.SizeClass(promptBytes(messages))}
}

func promptBytes(messages []upstream.Message) int {
	size := 0
	for _, m := range messages {
		size += len(m.Content)
	}
	return size
}

// prompt puts the previous stage's output before the caller's messages.
func (e *execution) prompt(prior string) []upstream.Message {
	if prior == "" {
		return e.messages
	}
	all := make([]upstream.Message, 0, len(e.messages)+1)
	all = append(all, upstream.Message{Role: "system", Content: prior})
	return append(all, e.messages...)
}

// chat makes one attempt and writes its tokens to the execution.
func (s *Server) chat(ctx context.Context, e *execution, addr string, a upstream.Attempt, req upstream.ChatRequest, began func(first time.Duration)) (generation, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	skip := e.tokens.Begin(a.Number, start)
	req.SkipTokens = int(skip)
	stall := newStallTimer(e, a.Number, cancel)
	defer stall.stop()
	var g generation
	end, err := s.client.Chat(ctx, addr, a, req, func(_ int, text string) error {
		if g.first == 0 {
			g.first = time.Since(start)
			began(g.first)
		}
		if err := e.room(ctx, a.Number); err != nil {
			return err
		}
		_, _, err := e.tokens.Append(a.Number, text, time.Now())
		return err
	})
	g.end = end
	if err == nil {
		// The engine's own count shows a token that was lost in a stream that
		// still ended in order.
		_, err = e.tokens.Finish(a.Number, uint64(end.Reported), time.Now())
	}
	if err == nil {
		return g, nil
	}
	e.tokens.Fail(a.Number)
	if errors.Is(context.Cause(ctx), errStalled) {
		return g, &upstream.Error{Cause: upstream.Silent, Address: addr, Err: errStalled}
	}
	return g, err
}

// stallTimer cancels an attempt when the gap between its tokens is too long.
type stallTimer struct{ timer *time.Timer }

// stallCheck is the time between two looks at an attempt's last token.
const stallCheck = 100 * time.Millisecond

func newStallTimer(e *execution, attempt int, cancel context.CancelCauseFunc) *stallTimer {
	t := &stallTimer{}
	t.timer = time.AfterFunc(stallCheck, func() {
		if e.tokens.Stalled(attempt, time.Now()) {
			cancel(errStalled)
			return
		}
		t.timer.Reset(stallCheck)
	})
	return t
}

func (t *stallTimer) stop() { t.timer.Stop() }
