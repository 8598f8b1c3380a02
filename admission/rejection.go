package admission

import (
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/problem"
)

// Reason is the cause of a rejection. Each reason has its own counter.
type Reason string

// Reasons of a rejection.
const (
	// DeadlineTooShort means that the deadline cannot be met even without a wait.
	DeadlineTooShort Reason = "deadline_too_short"
	// WaitTooLong means that the expected wait in the queue is too long for the
	// deadline.
	WaitTooLong Reason = "wait_too_long"
	// QueueFull means that the queue is full and holds no request that the new
	// one may displace.
	QueueFull Reason = "queue_full"
	// Displaced means that a newer or more urgent request took its position in a
	// full queue.
	Displaced Reason = "displaced"
	// Expired means that, while the request was queued, its deadline came too
	// close to be met.
	Expired Reason = "expired"
)

// Rejection is the error of a request that was not admitted.
type Rejection struct {
	Reason Reason
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
	// State is not_run unless an earlier stage of the request has run.
	State problem.ExecutionState
}

// Error implements error.
func (r *Rejection) Error() string {
	return fmt.Sprintf("admission: rejected (%s); retry after %v", r.Reason, r.RetryAfter)
}

// Problem returns the problem response for the caller.
func (r *Rejection) Problem(instance string) *problem.Problem {
	kind := problem.Overloaded
	if r.Reason == DeadlineTooShort {
		kind = problem.DeadlineTooShort
	}
	return problem.New(kind, r.State, "%s", r.Reason).WithRetryAfter(r.RetryAfter).WithInstance(instance)
}
