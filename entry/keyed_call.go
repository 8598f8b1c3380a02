package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/retry"
	"damaskbridge.example/damaskbridge/routing"
	"damaskbridge.example/damaskbridge/upstream"
)

// errAttemptNotAllowed stops a dispatch that the retry policy no longer allows.
var errAttemptNotAllowed = errors.New("another attempt may have been executed")

// keyedCall makes the attempts of a call that runs at most once. Attempts are
// sequential; there are no hedges.
type keyedCall struct {
	s     *Server
	job   *serviceJob
	claim *claim

	// mu protects call: guard runs on the connection's goroutine.
	mu   sync.Mutex
	call *retry.Call

	tried  []string
	answer *command.Answer
	err    error
	// routeErr is set if no runner could be chosen.
	routeErr error
}

// dispatch makes one attempt and returns the next action, nil if there is none.
func (k *keyedCall) dispatch(ctx context.Context, number int) *retry.Action {
	spec := attemptSpec{stage: k.job.svc.Name, pool: k.job.svc.Pool, number: number}
	spec.route = routing.Request{Pool: k.job.svc.Pool, Bytes: int64(len(k.job.call.Body)), Excluded: k.tried, NoProbe: true, Allowed: k.job.req.allowedRegions()}
	choice, err := k.s.chooseRunner(spec)
	if err != nil {
		k.routeErr = err
		return k.handleFailure(number, retry.NoCandidate)
	}
	k.tried = append(k.tried, choice.Upstream.Address)
	var result upstream.ServiceResult
	summary := k.s.runAttempt(ctx, k.job.req, spec, choice, func(ctx context.Context, addr string, a upstream.Attempt) (int, time.Duration, upstream.LoadReport, error) {
		call := k.job.call
		call.Guard = func() error { return k.guard(number) }
		var err error
		result, err = k.s.client.Service(ctx, addr, a, call)
		return result.WireBytes, 0, result.Load, err
	})
	k.err = summary.err
	if summary.err != nil {
		return k.handleFailure(number, retryFailure(summary.err))
	}
	k.answer = toAnswer(&result)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.call.Complete(retry.Result{ReceivedOn: number, ID: k.call.AttemptID(number), Valid: true}, time.Now())
	return nil
}

// guard returns an error if the attempt must not be sent. It is called directly
// before the attempt's first byte is written.
func (k *keyedCall) guard(number int) error {
	if err := k.claim.guard(); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.call.Sent(number) {
		return errAttemptNotAllowed
	}
	return nil
}

// handleFailure passes a failed attempt to the retry policy and returns the next
// action, nil if there is none.
func (k *keyedCall) handleFailure(number int, f retry.Failure) *retry.Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range k.call.Fail(number, f, time.Now()) {
		return &a
	}
	return nil
}

// notExecutedProblem returns the problem of a call of which nothing was
// executed.
func (k *keyedCall) notExecutedProblem() error {
	req := k.job.req
	switch {
	case errors.Is(k.err, errSessionNotCurrent):
		return req.problemf(problem.SettingsStale, "%v", k.err).WithRetryAfter(time.Second)
	case errors.Is(k.err, errDispatchWindowPassed), errors.Is(k.err, errDeadlinePassed):
		return req.problemf(problem.DeadlineExceeded, "%v", k.err)
	case k.err == nil && k.routeErr != nil:
		return req.problemf(problem.NoUpstream, "%v", k.routeErr).WithRetryAfter(retryAfterHint(k.routeErr))
	default:
		return req.problemf(problem.NoUpstream, "%v", k.err).WithRetryAfter(retryAfterHint(k.err))
	}
}
