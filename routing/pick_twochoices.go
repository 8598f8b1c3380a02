package routing

import "math/rand/v2"

// twoChoicesPicker picks the cheaper of two random candidates whose cost is close
// to the lowest (power of two choices). VMs that share lagging load reports would
// all send to the same upstream if each picked the cheapest.
type twoChoicesPicker struct {
	// relativeMargin and absoluteMarginMS bound which costs count as close to
	// the lowest.
	relativeMargin   float64
	absoluteMarginMS float64
	nearEqual        []int
}

func (*twoChoicesPicker) Name() string { return "two choices" }

func (p *twoChoicesPicker) Pick(candidates []Candidate, rng *rand.Rand) int {
	best := candidates[0].CostMS
	for i := range candidates {
		best = min(best, candidates[i].CostMS)
	}
	limit := best + p.relativeMargin*max(best, 0) + p.absoluteMarginMS
	p.nearEqual = p.nearEqual[:0]
	for i := range candidates {
		if candidates[i].CostMS <= limit {
			p.nearEqual = append(p.nearEqual, i)
		}
	}
	a := p.nearEqual[rng.IntN(len(p.nearEqual))]
	b := p.nearEqual[rng.IntN(len(p.nearEqual))]
	if candidates[b].CostMS < candidates[a].CostMS {
		return b
	}
	return a
}
