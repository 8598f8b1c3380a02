package routing

import (
	"math/rand/v2"
	"time"

	"damaskbridge.example/damaskbridge/membership"
)

// Candidate is an upstream that may be chosen for a request.
type Candidate struct {
	Upstream *membership.Upstream
	// CostMS is the sum of the scorers' costs.
	CostMS float64
	// Probe reports that the attempt would be a probe of an upstream that is
	// ejected or has an open circuit.
	Probe bool
	stats *upstreamStats
}

// Filter drops candidates that must not serve the request.
type Filter interface {
	// Name returns the name used in explanations and errors.
	Name() string
	// Keep reports whether the candidate may serve the request. It may set
	// c.Probe.
	Keep(req *Request, c *Candidate, now time.Time) bool
}

// Scorer assigns a cost to candidates.
type Scorer interface {
	// Name returns the name used in explanations.
	Name() string
	// CostMS returns the cost in milliseconds; lower is better.
	CostMS(req *Request, c *Candidate, now time.Time) float64
}

// Picker picks one of the scored candidates.
type Picker interface {
	Name() string
	// Pick returns the index of a candidate. There is at least one.
	Pick(candidates []Candidate, rng *rand.Rand) int
}
