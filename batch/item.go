package batch

import (
	"time"

	"damaskbridge.example/damaskbridge/advice"
)

// Item is one piece of one request at one stage.
type Item struct {
	// Ref identifies the item within its assembler.
	Ref uint64
	// Request is the caller's attempt ID; Stage and Piece count from 0.
	Request string
	Stage   int
	Piece   int
	// Key is the input key at a stage without predecessors; Inputs are the
	// results of the preceding stages.
	Key    string
	Inputs []string
	// ResultBytes is the approximate size of the result.
	ResultBytes int64
	// Due is when the result is wanted; after Deadline it is useless.
	Due      time.Time
	Deadline time.Time
	// YieldTime is added to Due in the queue order, to let other items go first.
	YieldTime time.Duration
	// rank is the sort key of the queue, the earliest first; isLate is true once
	// the item was demoted because it can't be on time.
	rank   time.Time
	isLate bool
	// attempts is the number of calls that the item was sent in.
	attempts int
}

// Reason is the reason why an item has no result.
type Reason string

// Reasons.
const (
	// Late: the deadline passed before the item was sent.
	Late Reason = "late"
	// InputGone: an input of the item no longer exists.
	InputGone Reason = "input_gone"
	// OutOfMemory: the runner had no memory for the result.
	OutOfMemory Reason = "no_room"
	// Failed: the runner could not compute the result.
	Failed Reason = "failed"
	// NoRunner: no runner of the service is usable.
	NoRunner Reason = "no_runner"
	// Cancelled: the request ended.
	Cancelled Reason = "cancelled"
)

// Result is the result of an item, or the reason why there is none.
type Result struct {
	// Handle identifies the result at its runner; empty if Reason is set.
	Handle string
	// Runner is the address of the runner that holds the result.
	Runner string
	// Assembler is the address of the VM that accounts the memory of that runner;
	// empty if it is this VM.
	Assembler string
	Reason    Reason
}

// Call is one call to send to a runner.
type Call struct {
	// Runner is the address; RunnerID is the ID that the runner there must have.
	Runner   string
	RunnerID string
	Items    []Item
	// ExpectedDuration is the expected duration of the call.
	ExpectedDuration time.Duration
}

// CallResult describes how a call ended.
type CallResult struct {
	// Results are in the order of the call's items; empty if the whole call
	// failed.
	Results []Result
	// Refused is true if the runner certainly did not start the call.
	Refused bool
	// Lost is true if the runner could not be reached or did not respond.
	Lost bool
	// Advice is what the runner's answer says about later calls.
	Advice advice.Advice
}

// EndedItem is an item that has ended, with its result.
type EndedItem struct {
	Item   Item
	Result Result
}
