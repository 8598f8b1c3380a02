package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/retry"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

// keyedResult is the result of a keyed call: an answer or an error. replayed
// means that the answer was stored by an earlier request.
type keyedResult struct {
	answer   *command.Answer
	replayed bool
	err      error
}

// serveKeyed makes a call that runs at most once. The call continues after the
// caller's deadline or disconnection until its outcome is recorded, so that a
// repeat with the same key finds it.
func (s *Server) serveKeyed(w http.ResponseWriter, r *http.Request, job *serviceJob) error {
	done := make(chan keyedResult, 1)
	ctx := context.WithoutCancel(r.Context())
	s.background(func() {
		result := s.runKeyed(ctx, job)
		s.recordKeyedEnd(job.req, &result)
		done <- result
	})
	timer := time.NewTimer(time.Until(job.req.deadline))
	defer timer.Stop()
	var result keyedResult
	select {
	case result = <-done:
	case <-s.drain.answers.Done():
		return s.drainProblem(job.req)
	case <-timer.C:
		// problemf reads the execution state after the deadline. A dispatch
		// that begins later fails its guard and sends nothing, so not_run
		// stays true.
		return job.req.problemf(problem.DeadlineExceeded, "repeat with the same key to learn the end")
	}
	if result.err != nil {
		return result.err
	}
	if result.replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	writeAnswer(w, result.answer)
	return nil
}

// recordKeyedEnd writes the end record of a keyed call and counts its answer.
func (s *Server) recordKeyedEnd(req *request, result *keyedResult) {
	switch {
	case result.err != nil:
		_ = s.failRequest(req, result.err)
	case result.replayed:
		req.recordMissingBegin()
		req.audit.recordEnd(audit.OK, problem.NotRun, nil, "stored response")
		s.counters.countAnswer("service_replayed", req.workspace.Name)
	default:
		req.recordEnd(result.answer.Body, nil)
		s.counters.countAnswer("service_keyed", req.workspace.Name)
	}
}

// runKeyed admits the call to the pool, claims the key, executes the call at
// most once and records the outcome.
func (s *Server) runKeyed(ctx context.Context, job *serviceJob) keyedResult {
	deadlineCtx, release := s.untilDrainOver(ctx)
	defer release()
	deadlineCtx, cancel := context.WithDeadline(deadlineCtx, job.req.deadline)
	defer cancel()
	slot, err := s.admit(deadlineCtx, job.req, job.svc.Pool, 0)
	if err != nil {
		return keyedResult{err: s.executionProblem(deadlineCtx, job.req, err)}
	}
	start := time.Now()
	result := s.runAdmitted(ctx, deadlineCtx, job, &start)
	if result.replayed {
		slot.cancel()
		return result
	}
	slot.release(time.Since(start), result.err)
	return result
}

// runAdmitted claims the key and dispatches an admitted call. It sets start to
// the time of the dispatch.
func (s *Server) runAdmitted(ctx, deadlineCtx context.Context, job *serviceJob, start *time.Time) keyedResult {
	beginDone := make(chan error, 1)
	go func() { beginDone <- job.req.recordBegin(deadlineCtx) }()
	c := &claim{s: s, req: job.req}
	res, err := c.acquire(deadlineCtx, requestDigest(job.req.target, job.call.Body))
	beginErr := <-beginDone
	if err != nil {
		return keyedResult{err: err}
	}
	if res.Code == command.ClaimDone {
		return storedResult(res.Answer)
	}
	ctx, stop := context.WithDeadline(ctx, job.req.deadline.Add(settleTimeout))
	defer stop()
	if beginErr != nil {
		return s.releaseKeyed(ctx, c, beginErr)
	}
	*start = time.Now()
	return s.dispatchKeyed(ctx, job, c)
}

// storedResult returns the stored response, or the stored problem if the key's
// owner could not determine the outcome.
func storedResult(a *command.Answer) keyedResult {
	if a == nil {
		return keyedResult{err: problem.New(problem.LedgerUnavailable, problem.Unknown, "the stored response is missing")}
	}
	if a.ContentType != problem.ContentType || a.Status != problem.OutcomeUnknown.Status() {
		return keyedResult{answer: a, replayed: true}
	}
	var p problem.Problem
	if err := json.Unmarshal(a.Body, &p); err != nil || !isEndUnknown(&p) {
		return keyedResult{answer: a, replayed: true}
	}
	return keyedResult{err: &p}
}

// isEndUnknown reports whether p is a problem that storeUnknownEnd stores. A
// service may itself respond with a problem of the same reason. Passing that on
// as this system's own could tell the caller that nothing ran, and a status of 0
// makes net/http panic.
func isEndUnknown(p *problem.Problem) bool {
	return p.Reason == problem.OutcomeUnknown && p.Status == problem.OutcomeUnknown.Status() && p.Execution == problem.Unknown
}

// dispatchKeyed tries runners under the claim until one may have started the
// call, and records the outcome.
func (s *Server) dispatchKeyed(ctx context.Context, job *serviceJob, c *claim) keyedResult {
	policy := retry.Policy{
		RetryNotExecuted: true,
		MaxAttempts:      int(job.req.tree.Int(job.req.branch, settings.RetryMaxAttempts)),
		Deadline:         job.req.deadline,
		MinRemaining:     minAttemptTime,
	}
	k := &keyedCall{s: s, job: job, claim: c, call: retry.NewCall(job.req.id, job.svc.Name, policy, s.retryBudgets.forPool(job.svc.Pool))}
	defer func() { s.countRetries(k.call.Counts()) }()
	// The outcome is recorded also if a drain cancels the attempt.
	attemptCtx, release := s.untilDrainOver(ctx)
	defer release()
	for _, a := range k.call.Start(time.Now()) {
		for next := &a; next != nil && next.Kind == retry.Dispatch; {
			next = k.dispatch(attemptCtx, next.Attempt)
		}
	}
	switch {
	case k.answer != nil:
		return s.storeKeyedAnswer(ctx, c, k.answer)
	case k.err != nil && upstream.MayHaveStarted(k.err):
		return s.storeUnknownEnd(ctx, c, k.err)
	case isDrainOver(attemptCtx):
		return s.releaseKeyed(ctx, c, s.drainProblem(job.req))
	default:
		return s.releaseKeyed(ctx, c, k.notExecutedProblem())
	}
}

// releaseKeyed releases the key of a request of which nothing was executed.
func (s *Server) releaseKeyed(ctx context.Context, c *claim, reason error) keyedResult {
	if err := c.release(ctx); err != nil {
		s.log.Warn().Err(err).Stringer("request", c.req.id).Msg("entry: idempotency key could not be released")
	}
	return keyedResult{err: reason}
}

// storeKeyedAnswer makes the answer durable before the caller receives it.
func (s *Server) storeKeyedAnswer(ctx context.Context, c *claim, a *command.Answer) keyedResult {
	if err := c.storeAnswer(ctx, *a); err != nil {
		p := problem.New(problem.LedgerUnavailable, problem.Executed, "the response could not be stored: %v", err)
		return keyedResult{err: p.WithInstance(c.req.id.String())}
	}
	return keyedResult{answer: a}
}

// storeUnknownEnd stores that the outcome is unknown, so that a repeat gets the
// same problem and nothing is dispatched again.
func (s *Server) storeUnknownEnd(ctx context.Context, c *claim, cause error) keyedResult {
	p := problem.New(problem.OutcomeUnknown, problem.Unknown, "%v", cause).WithInstance(c.req.id.String())
	raw, err := json.Marshal(p)
	if err == nil {
		err = c.storeAnswer(ctx, command.Answer{Status: p.Status, ContentType: problem.ContentType, Body: raw})
	}
	if err != nil {
		s.log.Warn().Err(err).Stringer("request", c.req.id).Msg("entry: unknown outcome could not be stored")
	}
	return keyedResult{err: p}
}
