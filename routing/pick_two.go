package routing

import "math/rand/v2"

// twoChoices takes the cheaper of two random candidates among those that cost
// about as much as the cheapest. VMs that share lagging reports would all take
// the same upstream if each took the cheapest.
type twoChoices struct {
	share    float64
	marginMS float64
	near     []int
}

func (*twoChoices) Name() string { return "two choices" }

func (p *twoChoices) Pick(candidates []Candidate, rng *rand.Rand) int {
	best := candidates[0].CostMS
	for i := range candidates {
		best = min(best, candidates[i].CostMS)
	}
	limit := best + p.share*max(best, 0) + p.marginMS
	p.near = p.near[:0]
	for i := range candidates {
		if candidates[i].CostMS <= limit {
			p.near = append(p.near, i)
		}
	}
	a := p.near[rng.IntN(len(p.near))]
	b := p.near[rng.IntN(len(p.near))]
	if candidates[b].CostMS < candidates[a].CostMS {
		return b
	}
	return a
}
