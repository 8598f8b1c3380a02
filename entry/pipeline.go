package entry

import (
	"context"
	"encoding/hex"
	"time"

	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

// launch executes a pipeline on a goroutine of its own. ctx carries the
// caller's cancellation, if the execution should end with the caller.
func (s *Server) launch(ctx context.Context, e *execution) {
	ctx, stop := context.WithDeadline(ctx, e.q.deadline)
	ctx, e.cancel = context.WithCancelCause(ctx)
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer stop()
		err := s.runStages(ctx, e)
		if err != nil {
			err = s.explain(ctx, e.q, err)
		}
		e.finish(err)
		s.account(e)
	}()
}

// account writes the end of an execution.
func (s *Server) account(e *execution) {
	if e.err != nil {
		s.refuse(e.q, e.err)
		return
	}
	_, end, _, _ := e.tokens.Read(e.reader.Load())
	var digest []byte
	if end != nil {
		digest, _ = hex.DecodeString(end.SHA256)
	}
	e.q.finishDigest(digest)
	s.counters.answered("pipeline", e.q.workspace.Name)
}

// runStages runs the stages one after the other. The output of the last one
// goes to the execution's tokens.
func (s *Server) runStages(ctx context.Context, e *execution) error {
	if err := s.feasible(e.q, e.pipeline.Stages, e.maxTokens); err != nil {
		return err
	}
	if err := e.q.begin(ctx); err != nil {
		return err
	}
	prior := ""
	for i, st := range e.pipeline.Stages {
		out, err := s.runStage(ctx, e, i, prior)
		if err != nil {
			return err
		}
		prior = out
		if i == len(e.pipeline.Stages)-1 && st.Kind != settings.Generate {
			return e.whole(out)
		}
	}
	return nil
}

// runStage runs one stage with the time that the budget grants it.
func (s *Server) runStage(ctx context.Context, e *execution, i int, prior string) (string, error) {
	st := e.pipeline.Stages[i]
	plan := s.times.Plan(stageKeys(e.pipeline.Stages[i:], e.maxTokens), time.Until(e.q.deadline), time.Now())
	p, err := s.admit(ctx, e.q, st.Pool, plan.Need)
	if err != nil {
		return "", err
	}
	start := time.Now()
	report := StageReport{Name: st.Name, Kind: string(st.Kind)}
	out := ""
	if st.Kind == settings.Generate {
		err = s.generate(ctx, e, st, prior, p, &report)
	} else {
		out, err = s.unary(ctx, e, st, prior, plan.Grants[0], &report)
	}
	took := time.Since(start)
	p.release(report.served(took), err)
	if err == nil || isLate(err) {
		// A stage that was given up is observed as well, or a pool that is
		// always too slow would never show in its distribution.
		s.times.Observe(stageKey(st, e.maxTokens), took, time.Now())
	}
	report.MS = float64(took.Microseconds()) / 1000
	s.counters.cost(st.Pool, report.CostUnits)
	e.reports = append(e.reports, report)
	return out, err
}

// isLate says whether a stage was given up for lack of time.
func isLate(err error) bool {
	p, ok := problem.As(err)
	return ok && p.Reason == problem.DeadlineExceeded
}

// whole makes the output of a last stage that does not generate the only token.
func (e *execution) whole(output string) error {
	e.tokens.Begin(1, time.Now())
	if _, _, err := e.tokens.Append(1, output, time.Now()); err != nil {
		return err
	}
	_, err := e.tokens.Finish(1, 1, time.Now())
	return err
}

// unary runs an encode, retrieve or rerank stage, which may be repeated.
func (s *Server) unary(ctx context.Context, e *execution, st settings.Stage, prior string, grant budget.Grant, report *StageReport) (string, error) {
	in := upstream.StageRequest{Input: e.input, Prior: prior}
	out, err := attempts(ctx, s, e.q, st, stageWork{grant: grant, bytes: int64(len(e.input) + len(prior))}, report, func(ctx context.Context, addr string, a upstream.Attempt, _ func()) (stageOutput, error) {
		r, err := s.client.Stage(ctx, addr, a, string(st.Kind), e.q.priority.String(), in)
		return stageOutput{result: r}, err
	})
	report.CostUnits = out.result.CostUnits
	return out.result.Output, err
}

// stageOutput is a stage's result as one attempt gave it.
type stageOutput struct {
	result upstream.StageResult
}

func (o stageOutput) wire() int                 { return o.result.WireBytes }
func (o stageOutput) served() time.Duration     { return 0 }
func (o stageOutput) load() upstream.LoadReport { return o.result.Load }

// explain turns the error that ended an execution into a problem.
func (s *Server) explain(ctx context.Context, q *request, err error) error {
	if p, ok := problem.As(err); ok {
		return p
	}
	if p, ok := problem.As(context.Cause(ctx)); ok {
		p.Execution = q.state()
		return p
	}
	if ctx.Err() != nil && !time.Now().Before(q.deadline) {
		return q.fail(problem.DeadlineExceeded, "after %v", time.Since(q.started).Round(time.Millisecond))
	}
	if ctx.Err() != nil {
		return q.fail(problem.CallerGone, "after %v", time.Since(q.started).Round(time.Millisecond))
	}
	if isNoCandidate(err) {
		return q.fail(problem.NoUpstream, "%v", err).After(retryAfter(err))
	}
	return q.fail(problem.UpstreamFailed, "%v", err)
}
