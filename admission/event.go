package admission

// Ticket identifies one request at a gate.
type Ticket uint64

// Event ends a request's wait: the request has been granted a slot, unless
// Rejection is set.
type Event struct {
	Ticket    Ticket
	Rejection *Rejection
}

// Counts holds a gate's counters.
type Counts struct {
	// Granted counts the requests granted a slot.
	Granted uint64
	// Queued counts the requests that entered the queue.
	Queued   uint64
	Rejected map[Reason]uint64
}
