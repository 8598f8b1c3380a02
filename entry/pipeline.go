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

// launch executes a pipeline on its own goroutine. Cancelling ctx cancels the
// execution; pass a context without the caller's cancellation if the execution
// may outlive the connection.
func (s *Server) launch(ctx context.Context, e *execution) {
	ctx, release := s.untilDrainOver(ctx)
	ctx, stop := context.WithDeadline(ctx, e.req.deadline)
	ctx, e.cancel = context.WithCancelCause(ctx)
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer release()
		defer stop()
		err := s.runStages(ctx, e)
		if err != nil {
			err = s.executionProblem(ctx, e.req, err)
		}
		e.finish(err)
		s.recordExecutionEnd(e)
	}()
}

// recordExecutionEnd writes the end record of an execution and counts its
// answer.
func (s *Server) recordExecutionEnd(e *execution) {
	if e.err != nil {
		s.failRequest(e.req, e.err)
		return
	}
	_, end, _, _ := e.tokens.Read(e.lastRead.load())
	var digest []byte
	if end != nil {
		digest, _ = hex.DecodeString(end.SHA256)
	}
	e.req.recordSuccess(digest)
	s.counters.countAnswer("pipeline", e.req.workspace.Name)
}

// runStages runs the stages in order. The output of the last one is written to
// the execution's tokens.
func (s *Server) runStages(ctx context.Context, e *execution) error {
	if err := s.checkFeasible(e.req, e.pipeline.Stages, e.maxTokens); err != nil {
		return err
	}
	if err := e.req.recordBegin(ctx); err != nil {
		return err
	}
	prior := ""
	for i, stage := range e.pipeline.Stages {
		out, err := s.runStage(ctx, e, i, prior)
		if err != nil {
			return err
		}
		prior = out
		if i == len(e.pipeline.Stages)-1 && stage.Kind != settings.KindGenerate {
			return e.emitWhole(out)
		}
	}
	return nil
}

// runStage runs stage i within the time granted by the plan. prior is the output
// of the stage before.
func (s *Server) runStage(ctx context.Context, e *execution, i int, prior string) (string, error) {
	stage := e.pipeline.Stages[i]
	plan := s.planner.Plan(latencyKeys(e.pipeline.Stages[i:], e.maxTokens), time.Until(e.req.deadline), time.Now())
	slot, err := s.admit(ctx, e.req, stage.Pool, plan.Need)
	if err != nil {
		return "", err
	}
	start := time.Now()
	report := StageReport{Name: stage.Name, Kind: string(stage.Kind)}
	out := ""
	if stage.Kind == settings.KindGenerate {
		err = s.generate(ctx, e, stage, prior, slot, &report)
	} else {
		out, err = s.runUnary(ctx, e, stage, prior, plan.Grants[0], &report)
	}
	took := time.Since(start)
	slot.release(report.admissionLatency(took), err)
	if err == nil || isDeadlineExceeded(err) {
		// Timed out stages are observed too. Without them, a pool that is
		// always too slow would never appear in the latency distribution.
		s.planner.Observe(latencyKey(stage, e.maxTokens), took, time.Now())
	}
	report.MS = float64(took.Microseconds()) / 1000
	s.counters.addCost(stage.Pool, report.CostUnits)
	e.stageReports = append(e.stageReports, report)
	return out, err
}

// isDeadlineExceeded reports whether a stage was cancelled for lack of time.
func isDeadlineExceeded(err error) bool {
	p, ok := problem.As(err)
	return ok && p.Reason == problem.DeadlineExceeded
}

// emitWhole writes the output of a last stage that is not a generate stage as
// the stream's only token.
func (e *execution) emitWhole(output string) error {
	e.tokens.Begin(1, time.Now())
	if _, _, err := e.tokens.Append(1, output, time.Now()); err != nil {
		return err
	}
	_, err := e.tokens.Finish(1, 1, time.Now())
	return err
}

// runUnary runs an encode, retrieve or rerank stage, all of which may be
// repeated.
func (s *Server) runUnary(ctx context.Context, e *execution, stage settings.Stage, prior string, grant budget.Grant, report *StageReport) (string, error) {
	in := upstream.StageRequest{Input: e.input, Prior: prior}
	out, err := runAttempts(ctx, s, e.req, stage, stageParams{grant: grant, bytes: int64(len(e.input) + len(prior))}, report, func(ctx context.Context, addr string, a upstream.Attempt, _ signalFunc) (stageOutput, error) {
		r, err := s.client.Stage(ctx, addr, a, string(stage.Kind), e.req.priority.String(), in)
		return stageOutput{result: r}, err
	})
	report.CostUnits = out.result.CostUnits
	return out.result.Output, err
}

// stageOutput is the result of one attempt at a unary stage.
type stageOutput struct {
	result upstream.StageResult
}

func (o stageOutput) wireBytes() int                  { return o.result.WireBytes }
func (o stageOutput) latency() time.Duration          { return 0 }
func (o stageOutput) loadReport() upstream.LoadReport { return o.result.Load }

// executionProblem converts the error that ended an execution to a problem.
func (s *Server) executionProblem(ctx context.Context, req *request, err error) error {
	if isDrainOver(ctx) {
		return s.drainProblem(req)
	}
	if p, ok := problem.As(err); ok {
		return p
	}
	if p, ok := problem.As(context.Cause(ctx)); ok {
		p.Execution = req.executionState()
		return p
	}
	if ctx.Err() != nil && !time.Now().Before(req.deadline) {
		return req.problemf(problem.DeadlineExceeded, "after %v", time.Since(req.started).Round(time.Millisecond))
	}
	if ctx.Err() != nil {
		return req.problemf(problem.CallerDisconnected, "after %v", time.Since(req.started).Round(time.Millisecond))
	}
	if isNoCandidate(err) {
		return req.problemf(problem.NoUpstream, "%v", err).WithRetryAfter(retryAfterHint(err))
	}
	return req.problemf(problem.UpstreamFailed, "%v", err)
}
