package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"damaskbridge.example/damaskbridge/buffers"
)

// finalRefusal returns the refusal after the last attempt.
func (r *request) finalRefusal(v *attemptResult) *Refusal {
	if r.executions > 0 {
		return &Refusal{Reason: AnswerLost, Executed: true, Detail: v.cause}
	}
	if !r.mayStart(time.Now()) {
		return r.stopRefusal()
	}
	reason := Unreachable
	if v.arrived {
		reason = RunnersFull
	}
	return &Refusal{Reason: reason, RetryAfter: r.runnersRetryDelay(), Detail: v.cause}
}

// runnersRetryDelay returns a randomized delay for callers that this VM can serve
// a moment later, or once the first of the service's runners wants requests again.
func (r *request) runnersRetryDelay() time.Duration {
	return r.g.runners.pauseLeft(time.Now(), r.service.Name) + shortRetryDelay()
}

// contextRefusal returns the refusal for a request whose context has ended.
func (r *request) contextRefusal(ctx context.Context) *Refusal {
	if isStopped(ctx) {
		return r.stopRefusal()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &Refusal{Reason: TimedOut, Executed: r.executions > 0, Detail: r.lastCause}
	}
	return &Refusal{Reason: CallerLeft, Executed: r.executions > 0, Detail: r.lastCause}
}

func (r *request) noRunnerRefusal(ctx context.Context) *Refusal {
	if ctx.Err() != nil {
		return r.contextRefusal(ctx)
	}
	if r.executions > 0 {
		return &Refusal{Reason: AnswerLost, Executed: true, Detail: r.lastCause}
	}
	if r.sends > 0 {
		return &Refusal{Reason: RunnersFull, RetryAfter: r.runnersRetryDelay(), Detail: r.lastCause}
	}
	if refusal := r.refuseUnplaceable(); refusal != nil {
		return refusal
	}
	if left := r.g.runners.warmUpLeft(time.Now(), r.service, r.allowedRegions()); left > 0 {
		return &Refusal{Reason: RunnersCold, RetryAfter: left + shortRetryDelay(), Detail: r.service.Name}
	}
	if r.g.runners.pauseLeft(time.Now(), r.service.Name) > 0 {
		return &Refusal{Reason: RunnersPaused, RetryAfter: r.runnersRetryDelay(), Detail: r.service.Name}
	}
	return &Refusal{Reason: NoRunner, RetryAfter: shortRetryDelay(), Detail: r.service.Name}
}

// NewMemoryRefusal returns the refusal for a request that has found no room in this
// VM.
func NewMemoryRefusal(err *buffers.FullError) *Refusal {
	return &Refusal{Reason: NoMemory, RetryAfter: shortRetryDelay(), Detail: err.Error()}
}

const (
	shortRetryMin    = 200 * time.Millisecond
	shortRetryJitter = 400 * time.Millisecond
)

// shortRetryDelay returns a randomized delay for callers that another VM, or
// this one a moment later, can serve.
func shortRetryDelay() time.Duration {
	return shortRetryMin + rand.N(shortRetryJitter)
}

const (
	lateStageRetryMin    = 700 * time.Millisecond
	lateStageRetryJitter = 800 * time.Millisecond
)

// lateStageRetryDelay returns a randomized delay that spreads the callers of an
// overloaded stage over the time in which it recovers from a short peak.
func lateStageRetryDelay() time.Duration {
	return lateStageRetryMin + rand.N(lateStageRetryJitter)
}
