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

// errNotAllowed is a dispatch that the retry policy does not allow any more.
var errNotAllowed = errors.New("another attempt may have been executed")

// keyedCall carries out the attempts of a call that runs at most once. Attempts
// follow each other; there are no hedges.
type keyedCall struct {
	s     *Server
	j     *serviceJob
	claim *claim

	// mu guards call: the guard runs on the connection's goroutine.
	mu   sync.Mutex
	call *retry.Call

	used   []string
	answer *command.Answer
	err    error
	// choice is set if no runner could be chosen.
	choice error
}

// dispatch makes one attempt and gives the action that follows from its end.
func (k *keyedCall) dispatch(ctx context.Context, number int) *retry.Action {
	c := attemptCall{stage: k.j.svc.Name, pool: k.j.svc.Pool, number: number}
	c.route = routing.Request{Pool: k.j.svc.Pool, Bytes: int64(len(k.j.call.Body)), Excluded: k.used, NoProbe: true}
	choice, err := k.s.choose(c)
	if err != nil {
		k.choice = err
		return k.failed(number, retry.NoCandidate)
	}
	k.used = append(k.used, choice.Upstream.Address)
	var result upstream.ServiceResult
	done := k.s.try(ctx, k.j.q, c, choice, func(ctx context.Context, addr string, a upstream.Attempt) (int, time.Duration, upstream.LoadReport, error) {
		call := k.j.call
		call.Guard = func() error { return k.guard(number) }
		var err error
		result, err = k.s.client.Service(ctx, addr, a, call)
		return result.WireBytes, 0, result.Load, err
	})
	k.err = done.err
	if done.err != nil {
		return k.failed(number, failureOf(done.err))
	}
	k.answer = answerOf(&result)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.call.Complete(retry.Result{Carrier: number, ID: k.call.ID(number), Valid: true}, time.Now())
	return nil
}

// guard is checked directly before the first byte of an attempt.
func (k *keyedCall) guard(number int) error {
	if err := k.claim.guard(); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.call.Sent(number) {
		return errNotAllowed
	}
	return nil
}

func (k *keyedCall) failed(number int, f retry.Failure) *retry.Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range k.call.Fail(number, f, time.Now()) {
		return &a
	}
	return nil
}

// refusal is the problem of a call of which nothing was executed.
func (k *keyedCall) refusal() error {
	q := k.j.q
	switch {
	case errors.Is(k.err, errSessionOver):
		return q.fail(problem.SettingsStale, "%v", k.err).After(time.Second)
	case errors.Is(k.err, errWindowOver), errors.Is(k.err, errDeadlineOver):
		return q.fail(problem.DeadlineExceeded, "%v", k.err)
	case k.err == nil && k.choice != nil:
		return q.fail(problem.NoUpstream, "%v", k.choice).After(retryAfter(k.choice))
	default:
		return q.fail(problem.NoUpstream, "%v", k.err).After(retryAfter(k.err))
	}
}
