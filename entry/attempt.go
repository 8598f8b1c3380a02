package entry

import (
	"context"
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/routing"
	"damaskbridge.example/damaskbridge/upstream"
)

// attemptSpec describes one attempt at a stage.
type attemptSpec struct {
	stage  string
	pool   string
	number int
	route  routing.Request
}

// sendFunc sends one attempt to a runner. wireBytes is the number of body bytes
// exchanged; latency is the one that counts for routing, 0 for the duration of
// the whole attempt.
type sendFunc func(ctx context.Context, addr string, a upstream.Attempt) (wireBytes int, latency time.Duration, load upstream.LoadReport, err error)

// attemptSummary holds the runner and the error of an ended attempt.
type attemptSummary struct {
	address string
	region  string
	err     error
}

// chooseRunner picks a runner for an attempt and counts the attempt as in
// flight there until runAttempt returns.
func (s *Server) chooseRunner(spec attemptSpec) (routing.Choice, error) {
	return s.runners.router.Choose(s.runners.members.View(), spec.route, time.Now())
}

// runAttempt makes one attempt at the chosen runner. It writes the audit records
// and updates the router's in-flight counts, the upstream's state and the
// request's count of attempts that may have run.
func (s *Server) runAttempt(ctx context.Context, req *request, spec attemptSpec, choice routing.Choice, send sendFunc) attemptSummary {
	u := choice.Upstream
	summary := attemptSummary{address: u.Address, region: string(u.Region)}
	req.mayHaveRun.Add(1)
	req.audit.recordDispatch(spec.stage, spec.number, u.Address)
	start := time.Now()
	wireBytes, latency, report, err := send(ctx, u.Address, upstream.Attempt{Request: req.id, Stage: spec.stage, Number: spec.number})
	took := time.Since(start)
	if latency == 0 {
		latency = took
	}
	s.runners.router.Done(choice.Ticket, routing.Outcome{Result: routingResult(err), Latency: latency}, time.Now())
	s.runners.observeLoad(u.Address, report)
	if err != nil {
		s.runners.observeError(u.Address, err)
	}
	if err != nil && !upstream.MayHaveStarted(err) {
		req.mayHaveRun.Add(-1)
	}
	if u.Region != s.opts.Region {
		req.crossRegionBytes.Add(int64(wireBytes))
		s.counters.addCrossRegionBytes(string(u.Region), wireBytes)
	}
	s.recordAttemptEnd(req, spec, u.Address, err)
	summary.err = err
	return summary
}

// recordAttemptEnd records the end of an attempt in the audit log and the
// counters.
func (s *Server) recordAttemptEnd(req *request, spec attemptSpec, addr string, err error) {
	if err == nil {
		req.audit.recordStageEnd(spec.stage, spec.number, addr, audit.OK, "")
		s.counters.countAttempt(spec.pool, "ok")
		return
	}
	cause := upstream.CauseOf(err)
	outcome := audit.Failed
	switch {
	case !upstream.MayHaveStarted(err):
		outcome = audit.NotSent
	case cause == upstream.Cancelled:
		outcome = audit.Canceled
	case cause == upstream.SilentConnection || cause == upstream.ConnectionBroken:
		outcome = audit.Unknown
	}
	req.audit.recordStageEnd(spec.stage, spec.number, addr, outcome, string(cause))
	s.counters.countAttempt(spec.pool, string(cause))
}

// isNoCandidate reports whether err means that no runner could be chosen.
func isNoCandidate(err error) bool {
	var none *routing.NoCandidateError
	return errors.As(err, &none)
}
