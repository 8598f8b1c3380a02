package catalog

import (
	"time"

	"damaskbridge.example/damaskbridge/residency"
)

// RetryPolicy tells whether a request may be executed more than once.
type RetryPolicy uint8

// Retry policies of routes.
const (
	// RetryNever allows at most one execution per attempt of a caller.
	RetryNever RetryPolicy = iota
	// RetryAlways allows any number of executions.
	RetryAlways
	// RetryFromEvent allows another runner to resume a stream after the last
	// event that the caller received.
	RetryFromEvent
)

// Route routes the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix  string
	RetryPolicy RetryPolicy
	// Streaming is true if responses are event streams.
	Streaming bool
	// Timeout is the longest time that a request may take, waiting included.
	Timeout time.Duration
	// LatencyObjective is the target latency of the response or, for streams, of
	// the first event.
	LatencyObjective time.Duration
	// MaxEventGap is the longest time between two events of a stream that meets
	// its latency objective.
	MaxEventGap time.Duration
	// Priority orders requests, 0 first.
	Priority int
	// MaxRunners is the maximum number of runners that may execute one attempt
	// of a caller.
	MaxRunners int
	// Public is true if requests need no API key.
	Public bool
	// PromptAffinity is true if requests identify the parts of their prompt.
	PromptAffinity bool
	// AllowedRegions are the regions in which requests may be processed. Those of
	// the workspace hold as well.
	AllowedRegions residency.Regions
	Targets        []Target
	Stages         []Stage
}

// Target is a service of a route and the weight of its share of requests.
type Target struct {
	Service string
	Weight  int
}

// Stage is a processing step in another service whose results a request needs.
type Stage struct {
	Service string
	// After lists the indexes of the stages whose results this stage needs.
	After []int
	// ResultBytes is the approximate size of one result in bytes.
	ResultBytes int64
}

// FinalStages returns the indexes of the stages that no other stage depends on.
func (r *Route) FinalStages() []int {
	hasDependents := make([]bool, len(r.Stages))
	for _, s := range r.Stages {
		for _, a := range s.After {
			hasDependents[a] = true
		}
	}
	var final []int
	for i, has := range hasDependents {
		if !has {
			final = append(final, i)
		}
	}
	return final
}
