package load

import (
	"math/rand/v2"
	"time"
)

// schedule returns the requests of a run in order of their times. It depends on
// the options alone, but for the wall time in keys.
func schedule(o Options, start time.Time) []*request {
	rng := rand.New(rand.NewPCG(o.Seed, 0x6c6f6164))
	var all []*request
	at := time.Duration(0)
	for {
		rate := o.RatePerSecond * factorAt(o.Bursts, at)
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= o.Duration || len(all) >= maxRequests {
			return all
		}
		r := &request{index: len(all), at: at}
		r.profile = o.Mix[pick(rng, len(o.Mix), func(i int) float64 { return o.Mix[i].Weight })]
		r.workspace = o.Workspaces[pick(rng, len(o.Workspaces), func(i int) float64 { return o.Workspaces[i].Share })]
		r.input = makeInput(rng, r.index, r.profile)
		if r.profile.Kind.keyed() {
			r.key = makeKey(rng, start.Add(at))
		}
		all = append(all, r)
	}
}

func factorAt(bursts []Burst, at time.Duration) float64 {
	factor := 1.0
	for _, b := range bursts {
		if at >= b.Start && at < b.Start+b.Duration && b.Factor > 0 {
			factor *= b.Factor
		}
	}
	return factor
}

// pick chooses an index with a chance in proportion to its weight.
func pick(rng *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := rng.Float64() * sum
	for i := range n {
		x -= weight(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}
