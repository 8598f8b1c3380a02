package budget

import "time"

// Plan divides the remaining time over the remaining stages.
type Plan struct {
	// Feasible says that the chance of meeting the deadline is large enough to
	// begin. It is true where too little is known.
	Feasible bool
	// Chance is the probability that all stages end in the remaining time
	// without a wait, retry or hedge.
	Chance float64
	// Need is the time that the stages usually take together.
	Need time.Duration
	// Grants holds one grant for each stage.
	Grants []Grant
}

// Grant is what one stage gets. All times count from the start of the stage.
type Grant struct {
	// Time is the stage's part of the remaining time, in proportion to its slow
	// attempts.
	Time time.Duration
	// HedgeAfter is when a second attempt is due, 0 for none.
	HedgeAfter time.Duration
	// CancelAfter is when the stage is given up, because the later stages
	// could not end in the time that is left.
	CancelAfter time.Duration
}
