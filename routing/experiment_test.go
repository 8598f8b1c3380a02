package routing

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/virtualtime"
	"damaskbridge.example/damaskbridge/membership"
)

var experimentSeeds = flag.Int("experiment.seeds", 1, "seeds of each run of the routing experiment")

// Parameters of the simulation: entry VMs with unequal shares of the traffic send
// to runners, each with a few slots and a FIFO queue. Load reports lag. Time is
// virtual.
const (
	modelRunners        = 20
	modelSlots          = 4
	modelService        = 50 * time.Millisecond
	modelServiceSigma   = 0.5 // sigma of the log-normal service time
	modelReportLag      = 500 * time.Millisecond
	modelReportInterval = 250 * time.Millisecond
	modelDuration       = 8 * time.Second
	modelDeadline       = 400 * time.Millisecond
	// modelRegionRTT is the round-trip time between regions.
	modelRegionRTT = 60 * time.Millisecond
)

var modelRegions = []ids.Region{"lagos", "abuja", "onitsha"}

var modelVMShares = []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}

// scenario is a workload with the faults of the runners.
type scenario struct {
	name string
	// load returns the load relative to capacity, and slowdown the factor by
	// which a runner's service times are longer.
	load     func(at time.Duration) float64
	slowdown func(runner int, at time.Duration) float64
	// falseReporter is the runner that always reports no load; -1 for none.
	falseReporter int
	// fails reports whether a runner responds with an error at once.
	fails func(runner int, at time.Duration) bool
	// regions spreads VMs and runners over three regions.
	regions bool
}

// region returns the region of the nth VM or runner.
func (s scenario) region(n int) ids.Region {
	if s.regions {
		return modelRegions[n%len(modelRegions)]
	}
	return modelRegions[0]
}

func flat(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func noSlowdown(int, time.Duration) float64 { return 1 }

var scenarios = []scenario{
	{name: "steady 0.7", load: flat(0.7), slowdown: noSlowdown, falseReporter: -1},
	{name: "burst 3x", load: func(at time.Duration) float64 {
		if at > 2*time.Second && at < 2500*time.Millisecond {
			return 1.8
		}
		return 0.6
	}, slowdown: noSlowdown, falseReporter: -1},
	{name: "straggler", load: flat(0.6), slowdown: func(r int, at time.Duration) float64 {
		if r == 0 && at > 2*time.Second {
			return 10
		}
		return 1
	}, falseReporter: -1},
	{name: "liar", load: flat(0.7), slowdown: noSlowdown, falseReporter: 0},
	{name: "slow liar", load: flat(0.6), slowdown: func(r int, _ time.Duration) float64 {
		if r == 0 {
			return 4
		}
		return 1
	}, falseReporter: 0},
	{name: "fails fast", load: flat(0.7), slowdown: noSlowdown, falseReporter: -1, fails: func(r int, at time.Duration) bool {
		return r == 0 && at > 2*time.Second
	}},
	{name: "half slow", load: flat(0.5), slowdown: func(r int, _ time.Duration) float64 {
		if r < modelRunners/2 {
			return 2
		}
		return 1
	}, falseReporter: -1},
	{name: "regions 0.6", load: flat(0.6), slowdown: noSlowdown, falseReporter: -1, regions: true},
	{name: "regions 0.85", load: flat(0.85), slowdown: noSlowdown, falseReporter: -1, regions: true},
}

// policy chooses runners for one VM.
type policy interface {
	// choose returns a runner and the function to call at the end of the attempt.
	choose(now time.Time) (runner int, done func(o Outcome, now time.Time))
	// report passes on a load report.
	report(runner int, l Load, now time.Time)
}

type randomPolicy struct{ rng *rand.Rand }

func (p randomPolicy) choose(time.Time) (int, func(Outcome, time.Time)) {
	return p.rng.IntN(modelRunners), func(Outcome, time.Time) {}
}
func (randomPolicy) report(int, Load, time.Time) {}

type roundRobinPolicy struct{ next *int }

func (p roundRobinPolicy) choose(time.Time) (int, func(Outcome, time.Time)) {
	*p.next++
	return *p.next % modelRunners, func(Outcome, time.Time) {}
}
func (roundRobinPolicy) report(int, Load, time.Time) {}

// leastOutstandingPolicy chooses the runner with the fewest requests in flight from
// the same VM.
type leastOutstandingPolicy struct {
	inFlight [modelRunners]int
	rng      *rand.Rand
}

func (p *leastOutstandingPolicy) choose(time.Time) (int, func(Outcome, time.Time)) {
	best := p.rng.IntN(modelRunners)
	for i := range modelRunners {
		if p.inFlight[i] < p.inFlight[best] {
			best = i
		}
	}
	p.inFlight[best]++
	return best, func(Outcome, time.Time) { p.inFlight[best]-- }
}
func (*leastOutstandingPolicy) report(int, Load, time.Time) {}

// leastReportedPolicy chooses the runner with the lowest reported load.
type leastReportedPolicy struct{ load [modelRunners]int }

func (p *leastReportedPolicy) choose(time.Time) (int, func(Outcome, time.Time)) {
	best := 0
	for i := range p.load {
		if p.load[i] < p.load[best] {
			best = i
		}
	}
	return best, func(Outcome, time.Time) {}
}

func (p *leastReportedPolicy) report(r int, l Load, _ time.Time) { p.load[r] = l.Running + l.Waiting }

// routerPolicy is the Router under test.
type routerPolicy struct {
	r     *Router
	view  *membership.View
	index map[string]int
}

func (p routerPolicy) choose(now time.Time) (int, func(Outcome, time.Time)) {
	c, err := p.r.Choose(p.view, Request{Pool: "p"}, now)
	if err != nil {
		return 0, func(Outcome, time.Time) {}
	}
	return p.index[c.Upstream.Address], func(o Outcome, now time.Time) {
		p.r.Done(c.Ticket, o, now)
	}
}

func (p routerPolicy) report(r int, l Load, now time.Time) { p.r.ObserveLoad(address(r), l, now) }

var policies = []struct {
	name string
	make func(seed uint64, sc scenario, vm int) policy
}{
	{"random", func(seed uint64, _ scenario, _ int) policy { return randomPolicy{rand.New(rand.NewPCG(seed, 2))} }},
	{"round robin", func(seed uint64, _ scenario, _ int) policy { n := int(seed); return roundRobinPolicy{&n} }},
	{"least outstanding", func(seed uint64, _ scenario, _ int) policy {
		return &leastOutstandingPolicy{rng: rand.New(rand.NewPCG(seed, 2))}
	}},
	{"least reported", func(uint64, scenario, int) policy { return &leastReportedPolicy{} }},
	{"chain", func(seed uint64, sc scenario, vm int) policy {
		index := map[string]int{}
		for i := range modelRunners {
			index[address(i)] = i
		}
		regions := modelRegions[:1]
		if sc.regions {
			regions = modelRegions
		}
		r := NewRouter(DefaultOptions(sc.region(vm)), rand.New(rand.NewPCG(seed, 1)))
		return routerPolicy{r: r, view: newTracker(modelRunners, regions...).View(), index: index}
	}},
}

type modelRunner struct {
	running int
	queue   []func()
}

// simulate returns the sorted latencies of all requests and the fraction that went
// to another region. Arrivals and service demands depend only on the seed.
func simulate(sc scenario, newPolicy func(uint64, scenario, int) policy, seed uint64) ([]time.Duration, float64) {
	c := &virtualtime.Clock{}
	rng := rand.New(rand.NewPCG(seed, 3))
	runners := make([]modelRunner, modelRunners)
	vms := make([]policy, len(modelVMShares))
	for i := range vms {
		vms[i] = newPolicy(seed*100+uint64(i), sc, i)
	}
	var latencies []time.Duration
	crossRegion, failed := 0, 0
	serve := func(r int, demand time.Duration, done func()) {
		begin := func() {
			runners[r].running++
			c.After(time.Duration(float64(demand)*sc.slowdown(r, c.Now())), func() {
				runners[r].running--
				if q := runners[r].queue; len(q) > 0 {
					runners[r].queue = q[1:]
					q[0]()
				}
				done()
			})
		}
		if runners[r].running < modelSlots {
			begin()
		} else {
			runners[r].queue = append(runners[r].queue, begin)
		}
	}
	var arrive func()
	arrive = func() {
		at := c.Now()
		demand := time.Duration(float64(modelService) * virtualtime.LogNormal(rng, modelServiceSigma))
		vm := virtualtime.WeightedIndex(rng, modelVMShares)
		r, done := vms[vm].choose(start.Add(at))
		var oneWayDelay time.Duration
		if sc.region(vm) != sc.region(r) {
			crossRegion++
			oneWayDelay = modelRegionRTT / 2
		}
		if sc.fails != nil && sc.fails(r, at) {
			c.After(time.Millisecond, func() {
				failed++
				done(Outcome{Result: Failure, Latency: time.Millisecond}, start.Add(c.Now()))
			})
		} else {
			c.After(oneWayDelay, func() {
				serve(r, demand, func() {
					c.After(oneWayDelay, func() {
						latencies = append(latencies, c.Now()-at)
						done(Outcome{Latency: c.Now() - at}, start.Add(c.Now()))
					})
				})
			})
		}
		perSecond := sc.load(at) * modelRunners * modelSlots / modelService.Seconds()
		if gap := virtualtime.ArrivalInterval(rng, perSecond); at+gap < modelDuration {
			c.After(gap, arrive)
		}
	}
	c.After(0, arrive)
	for i := range modelRunners {
		var measure func()
		measure = func() {
			l := Load{Running: runners[i].running, Waiting: len(runners[i].queue), At: start.Add(c.Now())}
			if i == sc.falseReporter {
				l.Running, l.Waiting = 0, 0
			}
			c.After(modelReportLag, func() {
				for _, vm := range vms {
					vm.report(i, l, start.Add(c.Now()))
				}
			})
			if c.Now() < modelDuration {
				c.After(modelReportInterval, measure)
			}
		}
		c.After(modelReportInterval*time.Duration(i)/modelRunners, measure)
	}
	c.Run()
	// A failed request counts as one that never completes.
	for range failed {
		latencies = append(latencies, time.Hour)
	}
	slices.Sort(latencies)
	return latencies, float64(crossRegion) / float64(len(latencies))
}

// attainment returns the fraction of requests that complete within the deadline.
func attainment(latencies []time.Duration) float64 {
	return virtualtime.FractionBelow(latencies, modelDeadline+1)
}

// TestExperiment guards against a routing policy that performs worse than the
// baselines: on the same arrivals its attainment must be at least that of the best
// baseline minus 0.005.
func TestExperiment(t *testing.T) {
	for _, sc := range scenarios {
		bestBaseline, routerResult := 0.0, 0.0
		for _, p := range policies {
			var attained, p50, p99, cross float64
			for seed := range *experimentSeeds {
				l, crossRegion := simulate(sc, p.make, uint64(seed+1))
				cross += crossRegion / float64(*experimentSeeds)
				attained += attainment(l) / float64(*experimentSeeds)
				p50 += virtualtime.Percentile(l, 50).Seconds() * 1000 / float64(*experimentSeeds)
				p99 += virtualtime.Percentile(l, 99).Seconds() * 1000 / float64(*experimentSeeds)
			}
			t.Logf("%-12s %-18s attainment %.4f  p50 %4.0f ms  p99 %5.0f ms  other region %.2f", sc.name, p.name, attained, p50, p99, cross)
			if p.name == "chain" {
				routerResult = attained
			} else {
				bestBaseline = max(bestBaseline, attained)
			}
		}
		if routerResult < bestBaseline-0.005 {
			t.Errorf("%s: attainment %.4f, but the best baseline has %.4f", sc.name, routerResult, bestBaseline)
		}
	}
}
