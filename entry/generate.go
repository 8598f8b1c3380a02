package entry

import (
	"context"
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/stream"
	"damaskbridge.example/damaskbridge/upstream"
)

// generateResult is the result of one attempt at a generate stage.
type generateResult struct {
	end upstream.ChatResult
	// firstToken is the time to the first token, 0 if there was none.
	firstToken time.Duration
}

func (g generateResult) wireBytes() int                  { return g.end.WireBytes }
func (g generateResult) latency() time.Duration          { return g.firstToken }
func (g generateResult) loadReport() upstream.LoadReport { return g.end.Load }

// generate runs a generate stage. An attempt after a failed or silent one resumes
// slightly before the last token received; the overlap verifies that the next
// engine continues the same completion.
func (s *Server) generate(ctx context.Context, e *execution, stage settings.Stage, prior string, slot *poolSlot, report *StageReport) error {
	chatReq := upstream.ChatRequest{
		Model:     stage.Model,
		Adapter:   stage.Adapter,
		Messages:  e.promptMessages(prior),
		MaxTokens: e.maxTokens,
		Priority:  e.req.priority.String(),
	}
	firstKey := firstTokenKey(stage, chatReq.Messages)
	grant := s.planner.Plan([]budget.Key{firstKey}, time.Until(e.req.deadline), time.Now()).Grants[0]
	// The grant covers the first token only. The rest of the stage may run
	// until the deadline.
	grant.CancelAfter = 0
	params := stageParams{grant: grant, prefix: upstream.PrefixChain(chatReq.Messages), bytes: int64(promptBytes(chatReq.Messages))}
	result, err := runAttempts(ctx, s, e.req, stage, params, report, func(ctx context.Context, addr string, a upstream.Attempt, signal signalFunc) (generateResult, error) {
		return s.chatAttempt(ctx, e, addr, a, chatReq, slot.progress, signal)
	})
	if err == nil && result.firstToken > 0 {
		s.planner.Observe(firstKey, result.firstToken, time.Now())
	}
	e.usage = result.end
	report.firstToken = result.firstToken
	report.CostUnits = float64(result.end.PromptTokens-result.end.CachedTokens) + float64(result.end.LastPosition)
	return err
}

// firstTokenKey returns the key of the stage's time-to-first-token distribution,
// which is kept by prompt size.
func firstTokenKey(stage settings.Stage, messages []upstream.Message) budget.Key {
	return budget.Key{Stage: stage.Pool + "/first_token", Class: budget.SizeClass(promptBytes(messages))}
}

// promptBytes returns the total size of the messages' contents.
func promptBytes(messages []upstream.Message) int {
	size := 0
	for _, m := range messages {
		size += len(m.Content)
	}
	return size
}

// promptMessages returns the caller's messages, preceded by the output of the
// previous stage as a system message.
func (e *execution) promptMessages(prior string) []upstream.Message {
	if prior == "" {
		return e.messages
	}
	all := make([]upstream.Message, 0, len(e.messages)+1)
	all = append(all, upstream.Message{Role: "system", Content: prior})
	return append(all, e.messages...)
}

// chatAttempt makes one attempt at an engine and writes its tokens to the
// execution. It calls onFirstToken when the first token arrives. It signals
// progress only for a token that is new to the stream, because an engine may still
// turn out in the overlap to continue another completion.
func (s *Server) chatAttempt(ctx context.Context, e *execution, addr string, a upstream.Attempt, chatReq upstream.ChatRequest, onFirstToken func(first time.Duration), signal signalFunc) (generateResult, error) {
	start := time.Now()
	skip := e.tokens.Begin(a.Number, start)
	chatReq.SkipTokens = int(skip)
	watch := newStallWatch(e, a.Number, signal)
	defer watch.stop()
	var result generateResult
	end, err := s.client.Chat(ctx, addr, a, chatReq, func(_ int, text string) error {
		if result.firstToken == 0 {
			result.firstToken = time.Since(start)
			onFirstToken(result.firstToken)
		}
		if err := e.waitForSpace(ctx, a.Number); err != nil {
			return err
		}
		_, verdict, err := e.tokens.Append(a.Number, text, time.Now())
		if verdict == stream.Accepted {
			watch.progress()
		}
		return err
	})
	result.end = end
	if err == nil {
		// The engine's own count reveals a token that was lost from a stream
		// that still ended normally.
		_, err = e.tokens.Finish(a.Number, uint64(end.ReportedTokens), time.Now())
	}
	if err == nil {
		return result, nil
	}
	e.tokens.Fail(a.Number)
	if errors.Is(err, stream.ErrFinished) {
		// Another attempt has completed the stream. Its result ends this one.
		<-ctx.Done()
	}
	return result, err
}
