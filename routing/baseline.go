package routing

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Names of the baseline policies with which the router is compared. They filter
// by state, region and earlier attempts only, and ignore load reports, latencies
// and cache events.
const (
	BaselineRandom           = "random"
	BaselineRoundRobin       = "round_robin"
	BaselineLeastOutstanding = "least_outstanding"
)

// NewBaseline returns a router that selects upstreams by the named baseline
// policy. The caller must not use rng any more.
func NewBaseline(name string, opts Options, rng *rand.Rand) (*ConcurrentRouter, error) {
	r := NewRouter(opts, rng)
	r.filters = []Filter{
		stateFilter{},
		regionFilter{region: opts.Region, allowed: opts.CrossRegion},
		residencyFilter{},
		excludedFilter{},
	}
	r.scorers = nil
	switch name {
	case BaselineRandom:
		r.picker = randomPicker{}
	case BaselineRoundRobin:
		r.picker = &roundRobinPicker{}
	case BaselineLeastOutstanding:
		r.scorers = []Scorer{outstandingScorer{}}
		r.picker = lowestCostPicker{}
	default:
		return nil, fmt.Errorf("routing: baseline %q is not known; use %s, %s or %s", name, BaselineRandom, BaselineRoundRobin, BaselineLeastOutstanding)
	}
	return &ConcurrentRouter{router: r}, nil
}

// randomPicker picks a candidate uniformly at random.
type randomPicker struct{}

func (randomPicker) Name() string { return BaselineRandom }

func (randomPicker) Pick(candidates []Candidate, rng *rand.Rand) int {
	return rng.IntN(len(candidates))
}

// roundRobinPicker picks the candidates in turn.
type roundRobinPicker struct{ next int }

func (*roundRobinPicker) Name() string { return BaselineRoundRobin }

func (p *roundRobinPicker) Pick(candidates []Candidate, _ *rand.Rand) int {
	p.next++
	return p.next % len(candidates)
}

// outstandingScorer uses the number of the VM's own attempts in flight to the
// upstream as the cost.
type outstandingScorer struct{}

func (outstandingScorer) Name() string { return BaselineLeastOutstanding }

func (outstandingScorer) CostMS(_ *Request, c *Candidate, _ time.Time) float64 {
	return float64(len(c.stats.inFlight))
}

// lowestCostPicker picks a candidate of the lowest cost, at random among ties.
type lowestCostPicker struct{}

func (lowestCostPicker) Name() string { return "lowest" }

func (lowestCostPicker) Pick(candidates []Candidate, rng *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch {
		case candidates[i].CostMS < candidates[best].CostMS:
			best, ties = i, 1
		case candidates[i].CostMS == candidates[best].CostMS:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
