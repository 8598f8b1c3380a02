package gateway

import (
	"fmt"
	"time"
)

// Reason is why a request ended without an answer from a runner. Each reason
// has a counter.
type Reason string

// Reasons. The first group guarantees that the request has not been executed.
const (
	// NoCatalog: this VM has not received the catalog yet.
	NoCatalog Reason = "no_catalog"
	// NoRoute: the catalog has no route for the host and path.
	NoRoute Reason = "no_route"
	// UnknownKey: no workspace has the caller's API key.
	UnknownKey Reason = "unknown_key"
	// NoRunner: the service has no known runner.
	NoRunner Reason = "no_runner"
	// RegionNotAllowed: no runner of a service that the request needs is listed in
	// the regions that its route and workspace allow.
	RegionNotAllowed Reason = "no_allowed_region"
	// ZoneEvacuated: the only runners of a service that the request needs are in
	// evacuated data centres.
	ZoneEvacuated Reason = "evacuated"
	// RunnersCold: the service has only runners that warm up, and none of them may get
	// a request of this VM now.
	RunnersCold Reason = "runners_cold"
	// RunnersFull: every runner that was tried refused the request.
	RunnersFull Reason = "runners_full"
	// RunnersPaused: every runner has asked for a pause.
	RunnersPaused Reason = "runners_paused"
	// Unreachable: no runner that was tried could be reached.
	Unreachable Reason = "unreachable"
	// StagesLate: the stages cannot finish in time.
	StagesLate Reason = "stages_late"
	// StagesFailed: a stage failed.
	StagesFailed Reason = "stages_failed"
	// PromptQuarantined: the prompt has a part under which several runners crashed.
	PromptQuarantined Reason = "prompt_quarantined"
	// Stopping: this VM is stopping.
	Stopping Reason = "stopping"
	// NoMemory: this VM has no room for the request's head, body or pieces.
	NoMemory Reason = "no_memory"
	// TooManyPieces: the request names more pieces than any VM serves.
	TooManyPieces Reason = "too_many_pieces"

	// AnswerLost: a runner may have executed the request, but its answer was lost.
	AnswerLost Reason = "answer_lost"
	// TimedOut: the route's or the caller's timeout expired.
	TimedOut Reason = "timed_out"
	// CallerLeft: the caller closed its connection.
	CallerLeft Reason = "caller_left"
)

// Refusal is the error that a caller receives in place of a runner's answer.
type Refusal struct {
	Reason Reason
	// Executed is false only if no runner has executed the request or will
	// execute it.
	Executed bool
	// RetryAfter is how long the caller should wait before it retries, or 0 if no
	// advice is given.
	RetryAfter time.Duration
	// Detail is an explanation for the log.
	Detail string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("gateway: %s (executed: %v): %s", r.Reason, r.Executed, r.Detail)
}
