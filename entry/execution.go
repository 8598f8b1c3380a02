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

// execution is the execution of one pipeline request. The stages write its
// tokens; any number of caller connections read them.
type execution struct {
	req       *request
	pipeline  *settings.Pipeline
	input     string
	messages  []upstream.Message
	maxTokens int
	tokens    *stream.SharedAssembler
	// tokenGap is the time between two tokens after which an engine counts as
	// silent.
	tokenGap time.Duration
	cancel   context.CancelCauseFunc
	// lastRead is the number of the last token that a caller has read.
	lastRead readPosition
	// followers counts the caller connections that read the tokens.
	followers atomic.Int64

	// The fields below are written before done is closed and read afterwards.
	done         chan struct{}
	err          error
	stageReports []StageReport
	usage        upstream.ChatResult
	ended        time.Time
}

func newExecution(req *request, p *settings.Pipeline) *execution {
	opts := stream.DefaultOptions()
	opts.TokenTimeout = req.tree.Duration(req.branch, settings.StreamTokenGap)
	return &execution{
		req:      req,
		pipeline: p,
		tokenGap: opts.TokenTimeout,
		tokens:   stream.NewSharedAssembler(opts),
		done:     make(chan struct{}),
	}
}

// follow passes the tokens after number from to emit, in order. It returns when
// the stream is complete, the execution fails, emit returns an error or ctx
// ends.
func (e *execution) follow(ctx context.Context, from uint64, emit func(stream.Token) error) error {
	e.followers.Add(1)
	defer e.followers.Add(-1)
	last := from
	for {
		tokens, end, changed, err := e.tokens.Read(last)
		if errors.Is(err, stream.ErrEvicted) {
			return problem.New(problem.ResumeTooOld, problem.Executed, "event %d is no longer buffered", from).WithInstance(e.req.id.String())
		}
		if err != nil {
			return err
		}
		for _, t := range tokens {
			if err := emit(t); err != nil {
				return err
			}
			last = t.Number
			e.lastRead.advance(last)
		}
		if end != nil && last == end.Count {
			<-e.done
			return e.err
		}
		if len(tokens) > 0 {
			continue
		}
		if err := e.waitForChange(ctx, changed); err != nil {
			return err
		}
	}
}

// waitForChange waits for new tokens, the end of the execution or ctx.
func (e *execution) waitForChange(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-e.done:
		return e.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// waitForSpace waits until another token fits into the replay buffer. While it
// waits, the engine's connection is not read, which slows the engine down
// instead of filling this VM's memory.
func (e *execution) waitForSpace(ctx context.Context, attempt int) error {
	if _, ok := e.tokens.FreeTokens(e.lastRead.load()); ok {
		return nil
	}
	e.tokens.Pause(attempt)
	for {
		last, advanced := e.lastRead.watch()
		if _, ok := e.tokens.FreeTokens(last); ok {
			e.tokens.Resume(attempt, time.Now())
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// finish ends the execution with err. It must be called once.
func (e *execution) finish(err error) {
	e.err = err
	e.ended = time.Now()
	close(e.done)
}
