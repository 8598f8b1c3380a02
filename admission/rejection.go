package admission

import (
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/problem"
)

// Reason says why a request was rejected. Each has a counter.
type Reason string

// Reasons of a rejection.
const (
	// DeadlineTooShort means that the deadline can't be met even without a wait.
	DeadlineTooShort Reason = "deadline_too_short"
	// WaitTooLong means that the wait in the queue would exceed the deadline.
	WaitTooLong Reason = "wait_too_long"
	// QueueFull means that the queue is full of requests that go first.
	QueueFull Reason = "queue_full"
	// Displaced means that a request with a better claim took the place.
	Displaced Reason = "displaced"
	// Expired means that the time ran out in the queue.
	Expired Reason = "expired"
)

// Rejection ends a request that got no place.
type Rejection struct {
	Reason     Reason
	RetryAfter time.Duration
	// State is not_run unless an earlier stage has run.
	State problem.State
}

// Error names the reason and the retry hint.
func (r *Rejection) Error() string {
	return fmt.Sprintf("admission: rejected (%s); retry after %v", r.Reason, r.RetryAfter)
}

// Problem gives the response to the caller.
func (r *Rejection) Problem(instance string) *problem.Problem {
	kind := problem.Overloaded
	if r.Reason == DeadlineTooShort {
		kind = problem.DeadlineTooShort
	}
	return problem.New(kind, r.State, "%s", r.Reason).After(r.RetryAfter).For(instance)
}
