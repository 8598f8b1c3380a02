package admission

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/internal/virtualtime"
)

var experimentSeeds = flag.Int("experiment.seeds", 1, "seeds of each run of the admission experiment")

// Parameters of the simulation: eight entry VMs with unequal shares of the
// traffic send to one pool, which has modelSlots slots and a FIFO queue. Time is
// virtual.
const (
	modelSlots        = 80
	modelService      = 50 * time.Millisecond
	modelServiceSigma = 0.5 // sigma of the log-normal service time
	// modelWarmup is the duration of the initial phase at half load, which is not
	// counted.
	modelWarmup   = 2 * time.Second
	modelDuration = 8 * time.Second
	modelDeadline = 500 * time.Millisecond
	modelTick     = 5 * time.Millisecond
)

var (
	// modelVMShares is each VM's fraction of the traffic.
	modelVMShares = []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}
	// One of five workspaces sends half of the requests. All weights are equal.
	modelWorkspaceShares = []float64{0.5, 0.2, 0.1, 0.1, 0.1}
	modelPriorityShares  = []float64{0.3, 0.5, 0.2}
)

// runResult holds the counts of one simulated run. A request is good if it
// completes within its deadline.
type runResult struct {
	offered, rejected, good int
	// goodBeforeEnd counts the good requests that complete before the end of
	// the arrivals. Requests served afterwards would raise goodput above
	// capacity.
	goodBeforeEnd int
	// capacity is the number of requests that the pool can serve in the counted
	// time.
	capacity                            float64
	latencies                           []time.Duration
	goodByWorkspace, offeredByWorkspace []int
	goodByPriority, offeredByPriority   []int
	limits                              []int
}

// enginePool selects a pool of engines: a request holds its slot ten times as
// long, and its latency is the time to the first token, a tenth of its service
// time.
type enginePool bool

func (e enginePool) service() time.Duration {
	if e {
		return 10 * modelService
	}
	return modelService
}

func (e enginePool) deadline() time.Duration {
	if e {
		return 5 * modelDeadline
	}
	return modelDeadline
}

func (res *runResult) goodput() float64 { return float64(res.goodBeforeEnd) / res.capacity }

// simulate runs one load, which is a function of time relative to capacity. If
// gated is false, every request is sent at once.
func simulate(load func(at time.Duration) float64, gated bool, engine enginePool, seed uint64) *runResult {
	c := &virtualtime.Clock{}
	rng := rand.New(rand.NewPCG(seed, 3))
	res := &runResult{
		goodByWorkspace: make([]int, 5), offeredByWorkspace: make([]int, 5),
		goodByPriority: make([]int, 3), offeredByPriority: make([]int, 3),
		capacity: modelSlots * (modelDuration - modelWarmup).Seconds() / engine.service().Seconds(),
	}
	running := 0
	var queue []func()
	serve := func(demand time.Duration, first, done func()) {
		begin := func() {
			running++
			if engine {
				c.After(demand/10, first)
			}
			c.After(demand, func() {
				running--
				if len(queue) > 0 {
					next := queue[0]
					queue = queue[1:]
					next()
				}
				done()
			})
		}
		if running < modelSlots {
			begin()
		} else {
			queue = append(queue, begin)
		}
	}
	gates := make([]*Gate, len(modelVMShares))
	granted := make([]map[Ticket]func(), len(gates))
	for i := range gates {
		gates[i] = NewGate(DefaultOptions())
		granted[i] = map[Ticket]func(){}
	}
	drain := func(vm int) {
		for _, e := range gates[vm].Events() {
			run := granted[vm][e.Ticket]
			delete(granted[vm], e.Ticket)
			if e.Rejection == nil {
				run()
			} else if c.Now() > modelWarmup {
				res.rejected++
			}
		}
	}
	var arrive func()
	arrive = func() {
		at := c.Now()
		demand := time.Duration(float64(engine.service()) * virtualtime.LogNormal(rng, modelServiceSigma))
		vm, ws, prio := virtualtime.WeightedIndex(rng, modelVMShares), virtualtime.WeightedIndex(rng, modelWorkspaceShares), virtualtime.WeightedIndex(rng, modelPriorityShares)
		if at >= modelWarmup {
			res.offered++
			res.offeredByWorkspace[ws]++
			res.offeredByPriority[prio]++
		}
		complete := func() {
			inTime := c.Now()-at <= engine.deadline()
			if inTime && c.Now() >= modelWarmup && c.Now() <= modelDuration {
				res.goodBeforeEnd++
			}
			if at < modelWarmup {
				return
			}
			res.latencies = append(res.latencies, c.Now()-at)
			if inTime {
				res.good++
				res.goodByWorkspace[ws]++
				res.goodByPriority[prio]++
			}
		}
		if gated {
			g := gates[vm]
			granted[vm][g.lastTicket+1] = func() {}
			var t Ticket
			run := func() {
				sent, latency := c.Now(), time.Duration(0)
				serve(demand, func() {
					latency = c.Now() - sent
					g.Progress(t, latency, start.Add(c.Now()))
					drain(vm)
				}, func() {
					complete()
					if !engine {
						latency = c.Now() - sent
					}
					g.Release(t, Sample{Latency: latency}, start.Add(c.Now()))
					drain(vm)
				})
			}
			granted[vm][g.lastTicket+1] = run
			t = g.Offer(Request{
				Workspace: fmt.Sprint("w", ws), Priority: Priority(prio),
				Deadline: start.Add(at + engine.deadline()), RemainingTime: engine.service(),
			}, start.Add(at))
			drain(vm)
		} else {
			serve(demand, func() {}, complete)
		}
		relativeLoad := 0.5
		if at >= modelWarmup {
			relativeLoad = load(at)
		}
		perSecond := relativeLoad * modelSlots / engine.service().Seconds()
		if gap := virtualtime.ArrivalInterval(rng, perSecond); at+gap < modelDuration {
			c.After(gap, arrive)
		}
	}
	c.After(0, arrive)
	if gated {
		var tick func()
		tick = func() {
			for vm, g := range gates {
				g.Advance(start.Add(c.Now()))
				drain(vm)
			}
			if c.Now() < modelDuration+time.Second {
				c.After(modelTick, tick)
			}
		}
		c.After(0, tick)
	}
	c.Run()
	slices.Sort(res.latencies)
	for _, g := range gates {
		res.limits = append(res.limits, g.Limit())
	}
	return res
}

func flat(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// TestExperiment guards against rejections and missed deadlines below saturation
// and against a collapse of goodput above it. It also logs the good requests by
// workspace and priority.
func TestExperiment(t *testing.T) {
	for _, engine := range []enginePool{false, true} {
		runExperiment(t, engine)
	}
}

func runExperiment(t *testing.T, engine enginePool) {
	burst := func(at time.Duration) float64 {
		if at > 4*time.Second && at < 5*time.Second {
			return 2.1
		}
		return 0.7
	}
	loads := []struct {
		name string
		load func(time.Duration) float64
	}{
		{"0.5", flat(0.5)},
		{"0.8", flat(0.8)},
		{"1.0", flat(1)},
		{"1.25", flat(1.25)},
		{"1.5", flat(1.5)},
		{"2.0", flat(2)},
		{"3.0", flat(3)},
		{"burst 3x", burst},
	}
	peak := 0.0
	for _, l := range loads {
		for _, gated := range []bool{false, true} {
			var goodput, attainment, rejected float64
			var last *runResult
			n := float64(*experimentSeeds)
			for seed := range *experimentSeeds {
				last = simulate(l.load, gated, engine, uint64(seed+1))
				goodput += last.goodput() / n
				attainment += float64(last.good) / float64(last.offered) / n
				rejected += float64(last.rejected) / float64(last.offered) / n
			}
			p := func(q int) float64 { return virtualtime.Percentile(last.latencies, q).Seconds() * 1000 }
			t.Logf("%-8s engine=%-5v gated=%-5v goodput %.3f attainment %.3f rejected %.3f p50 %4.0f ms p99 %5.0f ms, good by workspace %v of %v, by priority %v of %v, limits %v",
				l.name, engine, gated, goodput, attainment, rejected, p(50), p(99), last.goodByWorkspace, last.offeredByWorkspace, last.goodByPriority, last.offeredByPriority, last.limits)
			if !gated {
				continue
			}
			switch l.name {
			case "0.5", "0.8":
				if attainment < 0.995 {
					t.Errorf("engine=%v load %s: attainment %.3f, want at least 0.995 below saturation", engine, l.name, attainment)
				}
			case "1.5", "2.0", "3.0":
				if goodput < 0.9*peak {
					t.Errorf("engine=%v load %s: goodput %.3f, want at least 0.9 times the peak of %.3f", engine, l.name, goodput, peak)
				}
			}
			peak = max(peak, goodput)
		}
	}
}
