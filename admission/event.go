package admission

// Ticket names one request at a gate.
type Ticket uint64

// Event ends a request's wait: it is granted a place unless Rejection is set.
type Event struct {
	Ticket    Ticket
	Rejection *Rejection
}

// Counts are a gate's counters.
type Counts struct {
	Granted  uint64
	Queued   uint64
	Rejected map[Reason]uint64
}
