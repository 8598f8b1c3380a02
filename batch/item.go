package batch

import "time"

// Item is one piece of one request.
type Item struct {
	// Ref names the item at its assembler.
	Ref uint64
	// Request is the caller's attempt id; Stage and Piece count from 0.
	Request string
	Stage   int
	Piece   int
	// Key names the input of a stage that follows no other; Inputs are the
	// results of the stages that it follows.
	Key    string
	Inputs []string
	// ResultBytes is the approximate size of the result.
	ResultBytes int64
	// Due is when the result is wanted, Deadline when it is of no use any more.
	Due      time.Time
	Deadline time.Time
	// Yield is how long the item gives way to others that are due.
	Yield time.Duration
	// rank is the item's place in the queue; late says that it is that of an
	// item that can't be in time.
	rank time.Time
	late bool
	// tries counts the calls that held the item.
	tries int
}

// Reason says why an item has no result.
type Reason string

// Reasons.
const (
	// Late: the deadline has passed before the item's turn.
	Late Reason = "late"
	// InputGone: a result that the item needs no longer exists.
	InputGone Reason = "input_gone"
	// NoRoom: the runner had no memory for the result.
	NoRoom Reason = "no_room"
	// Failed: the runner could not make the result.
	Failed Reason = "failed"
	// NoRunner: no runner of the service is usable.
	NoRunner Reason = "no_runner"
	// Cancelled: the request has ended.
	Cancelled Reason = "cancelled"
)

// Result is the end of one item.
type Result struct {
	// Handle names the result at its maker; empty if there is a Reason.
	Handle string
	// Runner is the address of the maker.
	Runner string
	// Assembler is the address of the VM that accounts the maker's memory;
	// empty within that VM.
	Assembler string
	Reason    Reason
}

// Call is what to send to a runner.
type Call struct {
	// Runner is the address, RunnerID the name that the runner must have.
	Runner   string
	RunnerID string
	Items    []Item
	// Took is the expected time.
	Took time.Duration
}

// CallResult says how a call ended.
type CallResult struct {
	// Results stand in the order of the call's items; empty if the call failed
	// as a whole.
	Results []Result
	// Refused says that the runner has certainly not begun.
	Refused bool
	// Lost says that the runner could not be reached or did not answer.
	Lost bool
}

// End is an item that has ended.
type End struct {
	Item   Item
	Result Result
}
