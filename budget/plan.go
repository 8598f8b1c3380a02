package budget

import "time"

// Plan divides the remaining time among the remaining stages.
type Plan struct {
	// Feasible reports whether the probability of meeting the deadline is high
	// enough to start. It is true if there are too few samples and time is left.
	Feasible bool
	// Probability is the probability that all stages finish in the remaining time
	// without a wait, retry or hedge.
	Probability float64
	// Need is the time that the stages usually take in total.
	Need time.Duration
	// Grants holds one grant per stage.
	Grants []Grant
}

// Grant is the time budget of one stage. All times are relative to the start of
// the stage.
type Grant struct {
	// Time is the stage's share of the remaining time, in proportion to the
	// latency of its slow attempts.
	Time time.Duration
	// HedgeAfter is when to send a hedge, or 0 for none.
	HedgeAfter time.Duration
	// CancelAfter is when to cancel the stage because the later stages could not
	// finish in the time left.
	CancelAfter time.Duration
}
