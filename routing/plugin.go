package routing

import (
	"math/rand/v2"
	"time"

	"damaskbridge.example/damaskbridge/membership"
)

// Candidate is an upstream under consideration.
type Candidate struct {
	Upstream *membership.Upstream
	// CostMS is the sum of the scorers' costs.
	CostMS float64
	// Probe says that the choice would be a probe of an ejected upstream or an
	// open circuit.
	Probe bool
	stat  *stat
}

// Filter drops candidates that must not get the request.
type Filter interface {
	Name() string
	Keep(req *Request, c *Candidate, now time.Time) bool
}

// Scorer gives a candidate's cost in milliseconds; less is better.
type Scorer interface {
	Name() string
	CostMS(req *Request, c *Candidate, now time.Time) float64
}

// Picker takes one of the scored candidates, of which there is at least one.
type Picker interface {
	Name() string
	Pick(candidates []Candidate, rng *rand.Rand) int
}
