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

// keyedEnd is how a keyed call ended.
type keyedEnd struct {
	answer   *command.Answer
	replayed bool
	err      error
}

// serveKeyed makes a call that runs at most once. It goes on after the caller's
// deadline or departure until its end is recorded, so that a repeat of the key
// finds it.
func (s *Server) serveKeyed(w http.ResponseWriter, r *http.Request, j *serviceJob) error {
	ended := make(chan keyedEnd, 1)
	ctx := context.WithoutCancel(r.Context())
	s.background(func() {
		end := s.runKeyed(ctx, j)
		s.accountKeyed(j.q, &end)
		ended <- end
	})
	timer := time.NewTimer(time.Until(j.q.deadline))
	defer timer.Stop()
	var end keyedEnd
	select {
	case end = <-ended:
	case <-timer.C:
		// Read after the deadline: a dispatch that begins later finds the
		// deadline over and sends nothing, so not_run stays true.
		return j.q.fail(problem.DeadlineExceeded, "repeat with the same key to learn the end")
	}
	if end.err != nil {
		return end.err
	}
	if end.replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	sendAnswer(w, end.answer)
	return nil
}

func (s *Server) accountKeyed(q *request, end *keyedEnd) {
	switch {
	case end.err != nil:
		_ = s.refuse(q, end.err)
	case end.replayed:
		q.recordMissingBegin()
		q.account.end(audit.OK, problem.NotRun, nil, "stored response")
		s.counters.answered("service_replayed", q.workspace.Name)
	default:
		q.finish(end.answer.Body, nil)
		s.counters.answered("service_keyed", q.workspace.Name)
	}
}

// runKeyed claims the key, dispatches at most once and records the end.
func (s *Server) runKeyed(ctx context.Context, j *serviceJob) keyedEnd {
	before, cancel := context.WithDeadline(ctx, j.q.deadline)
	defer cancel()
	p, err := s.admit(before, j.q, j.svc.Pool, 0)
	if err != nil {
		return keyedEnd{err: s.explain(before, j.q, err)}
	}
	start := time.Now()
	end := s.runAdmitted(ctx, before, j, &start)
	if end.replayed {
		p.cancel()
		return end
	}
	p.release(time.Since(start), end.err)
	return end
}

// runAdmitted claims and dispatches a call that has its place. start is set to
// the time of the dispatch.
func (s *Server) runAdmitted(ctx, before context.Context, j *serviceJob, start *time.Time) keyedEnd {
	begun := make(chan error, 1)
	go func() { begun <- j.q.begin(before) }()
	c := &claim{s: s, q: j.q}
	res, err := c.obtain(before, digestOf(j.q.target, j.call.Body))
	beginErr := <-begun
	if err != nil {
		return keyedEnd{err: err}
	}
	if res.Code == command.ClaimDone {
		return storedEnd(res.Answer)
	}
	ctx, stop := context.WithDeadline(ctx, j.q.deadline.Add(settleLimit))
	defer stop()
	if beginErr != nil {
		return s.releaseKeyed(ctx, c, beginErr)
	}
	*start = time.Now()
	return s.dispatchKeyed(ctx, j, c)
}

// storedEnd gives the stored response, or the stored problem if the owner could
// not learn the end.
func storedEnd(a *command.Answer) keyedEnd {
	if a == nil {
		return keyedEnd{err: problem.New(problem.LedgerDown, problem.Unknown, "the stored response is missing")}
	}
	if a.ContentType != problem.ContentType || a.Status != problem.EndUnknown.Status() {
		return keyedEnd{answer: a, replayed: true}
	}
	var p problem.Problem
	if err := json.Unmarshal(a.Body, &p); err != nil || !isEndUnknown(&p) {
		return keyedEnd{answer: a, replayed: true}
	}
	return keyedEnd{err: &p}
}

// isEndUnknown says whether p is a problem that recordUnknown stores. A service
// may answer with a problem of the same reason; with another state it would tell
// the caller that nothing ran, and with a status of 0 net/http panics.
func isEndUnknown(p *problem.Problem) bool {
	return p.Reason == problem.EndUnknown && p.Status == problem.EndUnknown.Status() && p.Execution == problem.Unknown
}

// dispatchKeyed tries upstreams under the claim until one may have started.
func (s *Server) dispatchKeyed(ctx context.Context, j *serviceJob, c *claim) keyedEnd {
	policy := retry.Policy{
		MoveNotExecuted: true,
		MaxAttempts:     int(j.q.tree.Int(j.q.branch, settings.RetryMaxAttempts)),
		Deadline:        j.q.deadline,
		MinRemaining:    minAttemptTime,
	}
	k := &keyedCall{s: s, j: j, claim: c, call: retry.NewCall(j.q.id, j.svc.Name, policy, s.budgets.of(j.svc.Pool))}
	defer func() { s.countRetries(k.call.Counts()) }()
	for _, a := range k.call.Start(time.Now()) {
		for next := &a; next != nil && next.Kind == retry.Dispatch; {
			next = k.dispatch(ctx, next.Attempt)
		}
	}
	switch {
	case k.answer != nil:
		return s.recordKeyed(ctx, c, k.answer)
	case k.err != nil && upstream.MayHaveStarted(k.err):
		return s.recordUnknown(ctx, c, k.err)
	default:
		return s.releaseKeyed(ctx, c, k.refusal())
	}
}

// releaseKeyed frees the key of a request of which nothing was executed.
func (s *Server) releaseKeyed(ctx context.Context, c *claim, reason error) keyedEnd {
	if err := c.release(ctx); err != nil {
		s.log.Warn().Err(err).Stringer("request", c.q.id).Msg("entry: a key could not be released")
	}
	return keyedEnd{err: reason}
}

// recordKeyed makes the response durable before the caller receives it.
func (s *Server) recordKeyed(ctx context.Context, c *claim, a *command.Answer) keyedEnd {
	if err := c.record(ctx, *a); err != nil {
		p := problem.New(problem.LedgerDown, problem.Ran, "the response could not be recorded: %v", err)
		return keyedEnd{err: p.For(c.q.id.String())}
	}
	return keyedEnd{answer: a}
}

// recordUnknown stores that the end is unknown, so that a repeat gets the same
// and nothing is dispatched again.
func (s *Server) recordUnknown(ctx context.Context, c *claim, cause error) keyedEnd {
	p := problem.New(problem.EndUnknown, problem.Unknown, "%v", cause).For(c.q.id.String())
	raw, err := json.Marshal(p)
	if err == nil {
		err = c.record(ctx, command.Answer{Status: p.Status, ContentType: problem.ContentType, Body: raw})
	}
	if err != nil {
		s.log.Warn().Err(err).Stringer("request", c.q.id).Msg("entry: an unknown end could not be recorded")
	}
	return keyedEnd{err: p}
}
