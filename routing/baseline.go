package routing

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Baselines that the router is compared with. They keep the filters for state
// and earlier attempts and use no load report, latency or cache event.
const (
	BaselineRandom           = "random"
	BaselineRoundRobin       = "round_robin"
	BaselineLeastOutstanding = "least_outstanding"
)

// NewBaseline gives a shared router that chooses as the named baseline does.
func NewBaseline(name string, opts Options, rng *rand.Rand) (*Shared, error) {
	r := NewRouter(opts, rng)
	r.filters = []Filter{
		stateFilter{},
		regionFilter{region: opts.Region, allowed: opts.CrossRegion},
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
		r.picker = lowestPicker{}
	default:
		return nil, fmt.Errorf("routing: baseline %q is not known; use %s, %s or %s", name, BaselineRandom, BaselineRoundRobin, BaselineLeastOutstanding)
	}
	return &Shared{core: r}, nil
}

// randomPicker takes any candidate.
type randomPicker struct{}

func (randomPicker) Name() string { return BaselineRandom }

func (randomPicker) Pick(candidates []Candidate, rng *rand.Rand) int {
	return rng.IntN(len(candidates))
}

// roundRobinPicker takes the candidates in turn.
type roundRobinPicker struct{ next int }

func (*roundRobinPicker) Name() string { return BaselineRoundRobin }

func (p *roundRobinPicker) Pick(candidates []Candidate, _ *rand.Rand) int {
	p.next++
	return p.next % len(candidates)
}

// outstandingScorer charges the VM's own requests in flight.
type outstandingScorer struct{}

func (outstandingScorer) Name() string { return BaselineLeastOutstanding }

func (outstandingScorer) CostMS(_ *Request, c *Candidate, _ time.Time) float64 {
	return float64(len(c.stat.inFlight))
}

// lowestPicker takes a random one of the cheapest candidates.
type lowestPicker struct{}

func (lowestPicker) Name() string { return "lowest" }

func (lowestPicker) Pick(candidates []Candidate, rng *rand.Rand) int {
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
