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

var simulationSeeds = flag.Int("experiment.seeds", 1, "seeds of each run of the hedging experiment")

// The simulated system: one VM sends each attempt to a random runner. A runner
// has a few slots and a FIFO queue. With probability "faulty" an attempt takes
// ten times as long, and independently with the same probability its connection
// breaks at the end. Time is virtual.
const (
	modelRunners      = 20
	modelSlots        = 4
	modelService      = 50 * time.Millisecond
	modelServiceSigma = 0.5 // sigma of the log-normal service time
	modelDuration     = 8 * time.Second
	modelDeadline     = 400 * time.Millisecond
	// modelTimeout is the time after which an attempt counts as stalled.
	modelTimeout = 200 * time.Millisecond
)

// modelJob is one attempt at a runner. It is done when it has finished or was
// aborted.
type modelJob struct {
	done, running bool
	onStart       func()
}

type modelRunner struct {
	running int
	queue   []*modelJob
}

func (r *modelRunner) startQueued() {
	for r.running < modelSlots && len(r.queue) > 0 {
		j := r.queue[0]
		r.queue = r.queue[1:]
		if !j.done {
			j.running = true
			r.running++
			j.onStart()
		}
	}
}

type variant struct {
	name     string
	attempts int
	hedge    bool
	// timeouts aborts and retries an attempt after modelTimeout.
	timeouts bool
	budget   func() Limiter
}

func newDefaultBudget() Limiter   { return NewBudget(DefaultBudgetOptions()) }
func newUnlimitedBudget() Limiter { return unlimitedBudget{} }

var variants = []variant{
	{"single", 1, false, false, newUnlimitedBudget},
	{"retry", 3, false, false, newDefaultBudget},
	{"hedge+retry", 3, true, false, newDefaultBudget},
	{"timeouts", 3, true, true, newDefaultBudget},
	{"no budget", 3, true, true, newUnlimitedBudget},
}

// simulate returns the fraction of requests that met the deadline, the 99th
// percentile of the latency in milliseconds, and the attempts per request.
func simulate(v variant, load, faulty float64, seed uint64) (attainment, p99, attempts float64) {
	clock := &virtualtime.Clock{}
	rng := rand.New(rand.NewPCG(seed, 3))
	pickRNG := rand.New(rand.NewPCG(seed, 4))
	runners := make([]modelRunner, modelRunners)
	limiter := v.budget()
	tracker := budget.NewTracker(budget.DefaultOptions())
	key := budget.Key{Stage: "s"}
	var latencies []time.Duration
	sent, offered := 0, 0
	request := func(demands [DefaultMaxAttempts]time.Duration, breaks [DefaultMaxAttempts]bool) {
		offered++
		startedAt := clock.Now()
		p := Policy{Idempotent: true, MaxAttempts: v.attempts, Deadline: start.Add(startedAt + modelDeadline)}
		if v.hedge {
			plan := tracker.Plan([]budget.Key{key}, modelDeadline, start.Add(startedAt))
			p.HedgeAfter = plan.Grants[0].HedgeAfter
		}
		call := NewCall(ids.RequestID{Seq: uint64(offered)}, "s", p, limiter)
		jobs := map[int]*modelJob{}
		runnerOf := map[int]int{}
		var apply func([]Action)
		abort := func(n int) {
			j, r := jobs[n], &runners[runnerOf[n]]
			if j.done {
				return
			}
			j.done = true
			if j.running {
				r.running--
				r.startQueued()
			}
		}
		dispatch := func(n int) {
			sent++
			call.Sent(n)
			runnerOf[n] = pickRNG.IntN(modelRunners)
			r := &runners[runnerOf[n]]
			j := &modelJob{}
			jobs[n] = j
			j.onStart = func() {
				clock.After(demands[n-1], func() {
					if j.done {
						return
					}
					j.done = true
					r.running--
					if breaks[n-1] {
						apply(call.Fail(n, Broken, start.Add(clock.Now())))
						r.startQueued()
						return
					}
					apply(call.Complete(Result{ReceivedOn: n, ID: call.AttemptID(n), Valid: true}, start.Add(clock.Now())))
					r.startQueued()
				})
			}
			r.queue = append(r.queue, j)
			r.startQueued()
			if v.timeouts {
				clock.After(modelTimeout, func() {
					if !j.done && !call.Ended() {
						abort(n)
						apply(call.Fail(n, Broken, start.Add(clock.Now())))
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
					abort(a.Attempt)
				case Win:
					latencies = append(latencies, clock.Now()-startedAt)
					tracker.Observe(key, clock.Now()-startedAt, start.Add(clock.Now()))
				}
			}
		}
		apply(call.Start(start.Add(clock.Now())))
		if p.HedgeAfter > 0 {
			clock.After(p.HedgeAfter, func() { apply(call.Tick(start.Add(clock.Now()))) })
		}
		clock.After(modelDeadline, func() { apply(call.Tick(start.Add(clock.Now()))) })
	}
	var arrive func()
	arrive = func() {
		var demands [DefaultMaxAttempts]time.Duration
		var breaks [DefaultMaxAttempts]bool
		for i := range demands {
			d := float64(modelService) * virtualtime.LogNormal(rng, modelServiceSigma)
			if rng.Float64() < faulty {
				d *= 10
			}
			breaks[i] = rng.Float64() < faulty
			demands[i] = time.Duration(d)
		}
		request(demands, breaks)
		perSecond := load * modelRunners * modelSlots / modelService.Seconds() / (1 + 9*faulty)
		if gap := virtualtime.ArrivalInterval(rng, perSecond); clock.Now()+gap < modelDuration {
			clock.After(gap, arrive)
		}
	}
	clock.After(0, arrive)
	clock.Run()
	for len(latencies) < offered {
		latencies = append(latencies, modelDeadline)
	}
	slices.Sort(latencies)
	return virtualtime.FractionBelow(latencies, modelDeadline), virtualtime.Percentile(latencies, 99).Seconds() * 1000, float64(sent) / float64(offered)
}

// Guards against hedges that don't help with slow attempts, and against a budget
// that amplifies an overload: attempts stay within 10% plus the floor, and past
// saturation the deadline attainment stays close to that without extra attempts.
func TestExperiment(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.2} {
		for _, faulty := range []float64{0, 0.03} {
			results := map[string][3]float64{}
			for _, v := range variants {
				var r [3]float64
				for seed := range *simulationSeeds {
					attainment, p99, attempts := simulate(v, load, faulty, uint64(seed+1))
					n := float64(*simulationSeeds)
					r[0] += attainment / n
					r[1] += p99 / n
					r[2] += attempts / n
				}
				results[v.name] = r
				t.Logf("load %.1f faulty %.2f %-12s attainment %.4f p99 %4.0f ms attempts %.3f", load, faulty, v.name, r[0], r[1], r[2])
			}
			hedged, single := results["hedge+retry"], results["single"]
			if hedged[2] > 1.11 {
				t.Errorf("load %.1f: %.3f attempts per request, want at most 1.11", load, hedged[2])
			}
			if hedged[0] < single[0]-0.01 {
				t.Errorf("load %.1f faulty %.2f: attainment %.4f with extra attempts, %.4f without", load, faulty, hedged[0], single[0])
			}
		}
	}
}
