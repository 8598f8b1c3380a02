package admission

import "time"

// Request describes a request for one slot of a pool.
type Request struct {
	Workspace string
	// Weight is the workspace's share relative to others; 0 counts as 1.
	Weight   float64
	Priority Priority
	// Deadline is the time by which the response must be complete; zero if there
	// is none.
	Deadline time.Time
	// RemainingTime is the estimated time from the grant to the complete
	// response, as estimated by package budget.
	RemainingTime time.Duration
	// Started reports that an earlier stage of the request has run. Such a
	// request is served before new ones, and its rejection never has the state
	// not_run.
	Started bool
	// Cost is the service that a grant charges to the workspace; 0 counts as 1.
	Cost float64
}

func (r *Request) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

func (r *Request) cost() float64 {
	if r.Cost <= 0 {
		return 1
	}
	return r.Cost
}

// class returns the class in which the request is queued.
func (r *Request) class() int {
	if r.Started {
		return startedClass
	}
	return int(r.Priority) + 1
}

// slack returns how long the request can still wait and meet its deadline. The
// second result is false if it has no deadline.
func (r *Request) slack(now time.Time) (time.Duration, bool) {
	if r.Deadline.IsZero() {
		return 0, false
	}
	return r.Deadline.Sub(now) - r.RemainingTime, true
}

// missesDeadline reports whether the request would miss its deadline after
// another wait of the given length.
func (r *Request) missesDeadline(wait time.Duration, now time.Time) bool {
	slack, hasDeadline := r.slack(now)
	return hasDeadline && wait > slack
}
