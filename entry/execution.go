package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/stream"
	"damaskbridge.example/damaskbridge/upstream"
)

// execution is one pipeline request that is being executed. The stages write
// its tokens; any number of caller connections follow them.
type execution struct {
	q         *request
	pipeline  *settings.Pipeline
	input     string
	messages  []upstream.Message
	maxTokens int
	tokens    *stream.Shared
	cancel    context.CancelCauseFunc
	// reader is the number of the last token that a caller has taken.
	reader   atomic.Uint64
	advanced chan struct{}
	// followers counts the caller connections that read the tokens.
	followers atomic.Int64

	// The fields below are written before done is closed and read after.
	done    chan struct{}
	err     error
	reports []StageReport
	usage   upstream.ChatEnd
	ended   time.Time
}

func newExecution(q *request, p *settings.Pipeline) *execution {
	opts := stream.DefaultOptions()
	opts.TokenGap = q.tree.Duration(q.branch, settings.StreamTokenGap)
	return &execution{
		q:        q,
		pipeline: p,
		tokens:   stream.NewShared(opts),
		advanced: make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

// follow passes the tokens above from to emit, in order, and returns when the
// stream is complete, has failed, or ctx ends. An error of emit is returned.
func (e *execution) follow(ctx context.Context, from uint64, emit func(stream.Token) error) error {
	e.followers.Add(1)
	defer e.followers.Add(-1)
	at := from
	for {
		tokens, end, changed, err := e.tokens.Read(at)
		if errors.Is(err, stream.ErrTooOld) {
			return problem.New(problem.ResumeTooOld, problem.Ran, "event %d has left the buffer", from).For(e.q.id.String())
		}
		if err != nil {
			return err
		}
		for _, t := range tokens {
			if err := emit(t); err != nil {
				return err
			}
			at = t.Number
			e.advance(at)
		}
		if end != nil && at == end.Count {
			<-e.done
			return e.err
		}
		if len(tokens) > 0 {
			continue
		}
		if err := e.await(ctx, changed); err != nil {
			return err
		}
	}
}

// await waits for new tokens, for the end of the execution or for ctx.
func (e *execution) await(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-e.done:
		return e.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// advance tells the writer that a caller has taken the tokens up to at.
func (e *execution) advance(at uint64) {
	if at <= e.reader.Load() {
		return
	}
	e.reader.Store(at)
	select {
	case e.advanced <- struct{}{}:
	default:
	}
}

// room waits until another token fits into the replay buffer. While it waits
// the engine's connection is not read, which slows the engine down instead of
// filling this VM's memory.
func (e *execution) room(ctx context.Context, attempt int) error {
	waited := false
	for {
		n, ok := e.tokens.Room(e.reader.Load())
		if ok && n > 0 {
			break
		}
		waited = true
		select {
		case <-e.advanced:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if waited {
		e.tokens.Hold(attempt, time.Now())
	}
	return nil
}

// finish ends the execution.
func (e *execution) finish(err error) {
	e.err = err
	e.ended = time.Now()
	close(e.done)
}
