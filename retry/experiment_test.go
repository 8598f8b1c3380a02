package retry

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/virtualtime"
)

var experimentSeeds = flag.Int("experiment.seeds", 1, "seeds of each run of the hedging experiment")

// The model: one VM sends to runners with a few slots and a FIFO queue each,
// chosen at random. A part of the attempts takes ten times as long, and as large
// a part breaks at its end. Time is virtual.
const (
	modelRunners  = 20
	modelSlots    = 4
	modelService  = 50 * time.Millisecond
	modelSpread   = 0.5 // sigma of the log-normal service time
	modelTime     = 8 * time.Second
	modelDeadline = 400 * time.Millisecond
	// modelTimeout is when an attempt counts as stalled.
	modelTimeout = 200 * time.Millisecond
)

// job is one attempt at a runner.
type job struct {
	cancelled, running bool
	begin              func()
}

type runner struct {
	running int
	queue   []*job
}

func (r *runner) next() {
	for r.running < modelSlots && len(r.queue) > 0 {
		j := r.queue[0]
		r.queue = r.queue[1:]
		if !j.cancelled {
			j.running = true
			r.running++
			j.begin()
		}
	}
}

type variant struct {
	name     string
	attempts int
	hedge    bool
	// timeouts cancels and repeats an attempt after modelTimeout.
	timeouts bool
	budget   func() Spender
}

func limited() Spender { return NewBudget(DefaultBudgetOptions()) }
func free() Spender    { return unlimited{} }

var variants = []variant{
	{"single", 1, false, false, free},
	{"retry", 3, false, false, limited},
	{"hedge+retry", 3, true, false, limited},
	{"timeouts", 3, true, true, limited},
	{"no budget", 3, true, true, free},
}

// simulate gives the attainment, the 99th percentile and the attempts for each
// request.
func simulate(v variant, load, faulty float64, seed uint64) (att, p99, attempts float64) {
	c := &virtualtime.Clock{}
	rng := rand.New(rand.NewPCG(seed, 3))
	pickRNG := rand.New(rand.NewPCG(seed, 4))
	runners := make([]runner, modelRunners)
	spender := v.budget()
	tracker := budget.NewTracker(budget.DefaultOptions())
	key := budget.Key{Stage: "s"}
	var latencies []time.Duration
	sent, offered := 0, 0
	request := func(demands [DefaultMaxAttempts]time.Duration, breaks [DefaultMaxAttempts]bool) {
		offered++
		began := c.Now()
		p := Policy{Idempotent: true, MaxAttempts: v.attempts, Deadline: start.Add(began + modelDeadline)}
		if v.hedge {
			plan := tracker.Plan([]budget.Key{key}, modelDeadline, start.Add(began))
			p.HedgeAfter = plan.Grants[0].HedgeAfter
		}
		call := NewCall(ids.RequestID{Seq: uint64(offered)}, "s", p, spender)
		jobs := map[int]*job{}
		at := map[int]int{}
		var apply func([]Action)
		drop := func(n int) {
			j, r := jobs[n], &runners[at[n]]
			if j.cancelled {
				return
			}
			j.cancelled = true
			if j.running {
				r.running--
				r.next()
			}
		}
		dispatch := func(n int) {
			sent++
			call.Sent(n)
			at[n] = pickRNG.IntN(modelRunners)
			r := &runners[at[n]]
			j := &job{}
			jobs[n] = j
			j.begin = func() {
				c.After(demands[n-1], func() {
					if j.cancelled {
						return
					}
					j.cancelled = true
					r.running--
					if breaks[n-1] {
						apply(call.Fail(n, Broken, start.Add(c.Now())))
						r.next()
						return
					}
					apply(call.Complete(Result{Carrier: n, ID: call.ID(n), Valid: true}, start.Add(c.Now())))
					r.next()
				})
			}
			r.queue = append(r.queue, j)
			r.next()
			if v.timeouts {
				c.After(modelTimeout, func() {
					if !j.cancelled && !call.Ended() {
						drop(n)
						apply(call.Fail(n, Stalled, start.Add(c.Now())))
					}
				})
			}
		}
		apply = func(actions []Action) {
			for _, a := range actions {
				switch a.Kind {
				case Dispatch:
					dispatch(a.Attempt)
				case Cancel:
					drop(a.Attempt)
				case Win:
					latencies = append(latencies, c.Now()-began)
					tracker.Observe(key, c.Now()-began, start.Add(c.Now()))
				}
			}
		}
		apply(call.Start(start.Add(c.Now())))
		if p.HedgeAfter > 0 {
			c.After(p.HedgeAfter, func() { apply(call.Tick(start.Add(c.Now()))) })
		}
		c.After(modelDeadline, func() { apply(call.Tick(start.Add(c.Now()))) })
	}
	var arrive func()
	arrive = func() {
		var demands [DefaultMaxAttempts]time.Duration
		var breaks [DefaultMaxAttempts]bool
		for i := range demands {
			d := float64(modelService) * virtualtime.LogNormal(rng, modelSpread)
			if rng.Float64() < faulty {
				d *= 10
			}
			breaks[i] = rng.Float64() < faulty
			demands[i] = time.Duration(d)
		}
		request(demands, breaks)
		perSecond := load * modelRunners * modelSlots / modelService.Seconds() / (1 + 9*faulty)
		if gap := virtualtime.Gap(rng, perSecond); c.Now()+gap < modelTime {
			c.After(gap, arrive)
		}
	}
	c.After(0, arrive)
	c.Run()
	for len(latencies) < offered {
		latencies = append(latencies, modelDeadline)
	}
	slices.Sort(latencies)
	return virtualtime.PartBelow(latencies, modelDeadline), virtualtime.Percentile(latencies, 99).Seconds() * 1000, float64(sent) / float64(offered)
}

// Guards the use of hedges against slow attempts, and the budget against
// amplifying an overload: the attempts stay within 10% plus the floor, and
// attainment past saturation stays near that without extra attempts.
func TestExperiment(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.2} {
		for _, faulty := range []float64{0, 0.03} {
			results := map[string][3]float64{}
			for _, v := range variants {
				var r [3]float64
				for seed := range *experimentSeeds {
					att, p99, attempts := simulate(v, load, faulty, uint64(seed+1))
					n := float64(*experimentSeeds)
					r[0] += att / n
					r[1] += p99 / n
					r[2] += attempts / n
				}
				results[v.name] = r
				t.Logf("load %.1f faulty %.2f %-12s attainment %.4f p99 %4.0f ms attempts %.3f", load, faulty, v.name, r[0], r[1], r[2])
			}
			own, none := results["hedge+retry"], results["single"]
			if own[2] > 1.11 {
				t.Errorf("load %.1f: %.3f attempts for each request", load, own[2])
			}
			if own[0] < none[0]-0.01 {
				t.Errorf("load %.1f faulty %.2f: attainment %.4f, without extra attempts %.4f", load, faulty, own[0], none[0])
			}
		}
	}
}
