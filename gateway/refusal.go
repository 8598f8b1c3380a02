package gateway

import (
	"fmt"
	"time"
)

// Reason says why a request gets no answer of a runner. Each has a counter.
type Reason string

// Reasons. Those of the first group promise that the request has not run.
const (
	// NoCatalog: this VM does not know the routes yet.
	NoCatalog Reason = "no_catalog"
	// NoRoute: the catalog has no route for the host and path.
	NoRoute Reason = "no_route"
	// UnknownKey: no workspace holds the caller's key.
	UnknownKey Reason = "unknown_key"
	// NoRunner: no runner of the service is known.
	NoRunner Reason = "no_runner"
	// RunnersFull: the runners that were asked have refused.
	RunnersFull Reason = "runners_full"
	// Unreachable: the runners that were tried could not be reached.
	Unreachable Reason = "unreachable"
	// StagesLate: the stages cannot be done in time.
	StagesLate Reason = "stages_late"
	// StagesFailed: a stage has failed.
	StagesFailed Reason = "stages_failed"
	// Stopping: this VM is stopping.
	Stopping Reason = "stopping"

	// Lost: a runner may have executed the request and its answer is lost.
	Lost Reason = "answer_lost"
	// TimedOut: the time of the route or of the caller is over.
	TimedOut Reason = "timed_out"
	// Left: the caller has closed its connection.
	Left Reason = "caller_left"
)

// Refusal ends a request without an answer of a runner.
type Refusal struct {
	Reason Reason
	// Executed is false only if the request has not run and never will.
	Executed bool
	// RetryAfter tells the caller when to come back, 0 for nothing.
	RetryAfter time.Duration
	// Detail is for the log.
	Detail string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("gateway: %s (executed: %v): %s", r.Reason, r.Executed, r.Detail)
}
