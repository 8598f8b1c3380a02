package entry

import (
	"context"
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/routing"
	"damaskbridge.example/damaskbridge/upstream"
)

// attemptCall is one attempt of a stage.
type attemptCall struct {
	stage  string
	pool   string
	number int
	route  routing.Request
}

// attemptRun sends one attempt to a runner. wire is the number of body bytes
// exchanged; served is the latency that counts for routing.
type attemptRun func(ctx context.Context, addr string, a upstream.Attempt) (wire int, served time.Duration, load upstream.LoadReport, err error)

// attemptDone is what became of an attempt.
type attemptDone struct {
	upstream string
	region   string
	err      error
}

// choose picks a runner for an attempt. Its in-flight count holds until try
// has ended.
func (s *Server) choose(c attemptCall) (routing.Choice, error) {
	return s.runners.router.Choose(s.runners.members.View(), c.route, time.Now())
}

// try makes one attempt at the chosen runner. It writes the audit records and
// updates the router's in-flight counts, the upstream's state and the count of
// attempts that may have run.
func (s *Server) try(ctx context.Context, q *request, c attemptCall, choice routing.Choice, run attemptRun) attemptDone {
	u := choice.Upstream
	done := attemptDone{upstream: u.Address, region: string(u.Region)}
	q.mayHaveRun.Add(1)
	q.account.dispatch(c.stage, c.number, u.Address)
	start := time.Now()
	wire, served, load, err := run(ctx, u.Address, upstream.Attempt{Request: q.id, Stage: c.stage, Number: c.number})
	took := time.Since(start)
	if served == 0 {
		served = took
	}
	s.runners.router.Done(choice.Ticket, routing.Outcome{Result: resultOf(err), Latency: served}, time.Now())
	s.runners.observeLoad(u.Address, load)
	if err != nil {
		s.runners.observeError(u.Address, err)
	}
	if err != nil && !upstream.MayHaveStarted(err) {
		q.mayHaveRun.Add(-1)
	}
	if u.Region != s.opts.Region {
		q.crossRegionBytes.Add(int64(wire))
		s.counters.crossRegion(string(u.Region), wire)
	}
	s.endAttempt(q, c, u.Address, err)
	done.err = err
	return done
}

// endAttempt writes the attempt's end to the audit log and the counters.
func (s *Server) endAttempt(q *request, c attemptCall, addr string, err error) {
	if err == nil {
		q.account.stageEnd(c.stage, c.number, addr, audit.OK, "")
		s.counters.attempt(c.pool, "ok")
		return
	}
	cause := upstream.CauseOf(err)
	outcome := audit.Failed
	switch {
	case !upstream.MayHaveStarted(err):
		outcome = audit.NotSent
	case cause == upstream.Cancelled:
		outcome = audit.Canceled
	case cause == upstream.Silent || cause == upstream.Broken:
		outcome = audit.Unknown
	}
	q.account.stageEnd(c.stage, c.number, addr, outcome, string(cause))
	s.counters.attempt(c.pool, string(cause))
}

// isNoCandidate says whether no runner could be chosen.
func isNoCandidate(err error) bool {
	var none *routing.NoCandidateError
	return errors.As(err, &none)
}
