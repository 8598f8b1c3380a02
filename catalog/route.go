package catalog

import "time"

// Repeat says whether a request may be executed more than once.
type Repeat uint8

// Kinds of repetition.
const (
	// RepeatNever allows at most one execution of each attempt of a caller.
	RepeatNever Repeat = iota
	// RepeatAlways allows any number of executions.
	RepeatAlways
	// RepeatFromEvent allows a stream to go on at another runner after the
	// last event that reached the caller.
	RepeatFromEvent
)

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Repeat     Repeat
	// Streaming says that answers are event streams.
	Streaming bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event,
	// has its full value.
	Objective time.Duration
	// MaxEventGap is the longest pause within a stream that is still on time.
	MaxEventGap time.Duration
	// Priority ranks requests, 0 first.
	Priority int
	// MaxRunners is how many runners may execute one attempt of a caller.
	MaxRunners int
	// Public routes need no key.
	Public bool
	// PromptAffinity says that requests name the parts of their prompt.
	PromptAffinity bool
	Targets        []Target
	Stages         []Stage
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Stage is work of another service whose results a request needs.
type Stage struct {
	Service string
	// After lists the stages whose results this one needs, by position.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// FinalStages gives the stages that no other stage follows, by position.
func (r *Route) FinalStages() []int {
	followed := make([]bool, len(r.Stages))
	for _, s := range r.Stages {
		for _, a := range s.After {
			followed[a] = true
		}
	}
	var final []int
	for i, f := range followed {
		if !f {
			final = append(final, i)
		}
	}
	return final
}
