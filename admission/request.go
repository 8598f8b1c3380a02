package admission

import "time"

// Request asks for one place in a pool.
type Request struct {
	Workspace string
	// Weight is the workspace's share relative to others; 0 counts as 1.
	Weight   float64
	Priority Priority
	// Deadline is when the answer must be complete; zero if there is none.
	Deadline time.Time
	// Need is the time that the request still needs once it has its place, as
	// the budget estimates it.
	Need time.Duration
	// Started says that an earlier stage of the request has run. Such a request
	// goes before new ones and its rejection is never not_run.
	Started bool
	// Cost is the request's part of its workspace's share; 0 counts as 1.
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

// class is the queue that the request waits in, highest first.
func (r *Request) class() int {
	if r.Started {
		return startedClass
	}
	return int(r.Priority) + 1
}

// slack gives the time for which the request can still wait, and false if it
// has no deadline.
func (r *Request) slack(now time.Time) (time.Duration, bool) {
	if r.Deadline.IsZero() {
		return 0, false
	}
	return r.Deadline.Sub(now) - r.Need, true
}

// late says that the request can't meet its deadline after waiting longer.
func (r *Request) late(wait time.Duration, now time.Time) bool {
	slack, bound := r.slack(now)
	return bound && wait > slack
}
