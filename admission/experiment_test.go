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

// The model: eight entry VMs with unequal shares send to one pool, a station
// with a number of slots and a FIFO queue. Time is virtual.
const (
	modelSlots   = 80
	modelService = 50 * time.Millisecond
	modelSpread  = 0.5 // sigma of the log-normal service time
	// modelWarm is a time at half load from which nothing is counted.
	modelWarm     = 2 * time.Second
	modelTime     = 8 * time.Second
	modelDeadline = 500 * time.Millisecond
	modelTick     = 5 * time.Millisecond
)

var (
	modelShares = []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}
	// One workspace of five sends half of the requests; weights are equal.
	modelWorkspaces = []float64{0.5, 0.2, 0.1, 0.1, 0.1}
	modelPriorities = []float64{0.3, 0.5, 0.2}
)

type outcome struct {
	offered, rejected, good int
	// inWindow counts the good answers given before the end of the arrivals, so
	// that goodput does not exceed capacity by what is served afterwards.
	inWindow  int
	capacity  float64
	latencies []time.Duration
	// byWorkspace and byPriority count good answers and offers.
	byWorkspace, offersW []int
	byPriority, offersP  []int
	limits               []int
}

// engine makes the pool one of engines: a request holds its place ten times as
// long, and its latency is that of the first token, a tenth of its service.
type engine bool

func (e engine) service() time.Duration {
	if e {
		return 10 * modelService
	}
	return modelService
}

func (e engine) deadline() time.Duration {
	if e {
		return 5 * modelDeadline
	}
	return modelDeadline
}

func (o *outcome) goodput() float64 { return float64(o.inWindow) / o.capacity }

// simulate runs one load. With gated false every request is sent at once.
func simulate(load func(at time.Duration) float64, gated bool, eng engine, seed uint64) *outcome {
	c := &virtualtime.Clock{}
	rng := rand.New(rand.NewPCG(seed, 3))
	o := &outcome{
		byWorkspace: make([]int, 5), offersW: make([]int, 5),
		byPriority: make([]int, 3), offersP: make([]int, 3),
		capacity: modelSlots * (modelTime - modelWarm).Seconds() / eng.service().Seconds(),
	}
	running := 0
	var queue []func()
	serve := func(demand time.Duration, first, done func()) {
		begin := func() {
			running++
			if eng {
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
	gates := make([]*Gate, len(modelShares))
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
			} else if c.Now() > modelWarm {
				o.rejected++
			}
		}
	}
	var arrive func()
	arrive = func() {
		at := c.Now()
		demand := time.Duration(float64(eng.service()) * virtualtime.LogNormal(rng, modelSpread))
		vm, ws, prio := virtualtime.Pick(rng, modelShares), virtualtime.Pick(rng, modelWorkspaces), virtualtime.Pick(rng, modelPriorities)
		if at >= modelWarm {
			o.offered++
			o.offersW[ws]++
			o.offersP[prio]++
		}
		answer := func() {
			inTime := c.Now()-at <= eng.deadline()
			if inTime && c.Now() >= modelWarm && c.Now() <= modelTime {
				o.inWindow++
			}
			if at < modelWarm {
				return
			}
			o.latencies = append(o.latencies, c.Now()-at)
			if inTime {
				o.good++
				o.byWorkspace[ws]++
				o.byPriority[prio]++
			}
		}
		if gated {
			g := gates[vm]
			granted[vm][g.next+1] = func() {}
			var t Ticket
			run := func() {
				sent, latency := c.Now(), time.Duration(0)
				serve(demand, func() {
					latency = c.Now() - sent
					g.Progress(t, latency, start.Add(c.Now()))
					drain(vm)
				}, func() {
					answer()
					if !eng {
						latency = c.Now() - sent
					}
					g.Release(t, Sample{Latency: latency}, start.Add(c.Now()))
					drain(vm)
				})
			}
			granted[vm][g.next+1] = run
			t = g.Offer(Request{
				Workspace: fmt.Sprint("w", ws), Priority: Priority(prio),
				Deadline: start.Add(at + eng.deadline()), Need: eng.service(),
			}, start.Add(at))
			drain(vm)
		} else {
			serve(demand, func() {}, answer)
		}
		relative := 0.5
		if at >= modelWarm {
			relative = load(at)
		}
		perSecond := relative * modelSlots / eng.service().Seconds()
		if gap := virtualtime.Gap(rng, perSecond); at+gap < modelTime {
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
			if c.Now() < modelTime+time.Second {
				c.After(modelTick, tick)
			}
		}
		c.After(0, tick)
	}
	c.Run()
	slices.Sort(o.latencies)
	for _, g := range gates {
		o.limits = append(o.limits, g.Limit())
	}
	return o
}

func flat(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// Guards against collapse past saturation, refusals below it, and a workspace
// that takes the shares of others.
func TestExperiment(t *testing.T) {
	for _, eng := range []engine{false, true} {
		experiment(t, eng)
	}
}

func experiment(t *testing.T, eng engine) {
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
			var goodput, att, rejected float64
			var last *outcome
			n := float64(*experimentSeeds)
			for seed := range *experimentSeeds {
				last = simulate(l.load, gated, eng, uint64(seed+1))
				goodput += last.goodput() / n
				att += float64(last.good) / float64(last.offered) / n
				rejected += float64(last.rejected) / float64(last.offered) / n
			}
			p := func(q int) float64 { return virtualtime.Percentile(last.latencies, q).Seconds() * 1000 }
			t.Logf("%-8s engine=%-5v gated=%-5v goodput %.3f attainment %.3f rejected %.3f p50 %4.0f p99 %5.0f ms  by workspace %v of %v by priority %v of %v limits %v",
				l.name, eng, gated, goodput, att, rejected, p(50), p(99), last.byWorkspace, last.offersW, last.byPriority, last.offersP, last.limits)
			if !gated {
				continue
			}
			switch l.name {
			case "0.5", "0.8":
				if att < 0.995 {
					t.Errorf("engine %v load %s: attainment %.3f below saturation", eng, l.name, att)
				}
			case "1.5", "2.0", "3.0":
				if goodput < 0.9*peak {
					t.Errorf("engine %v load %s: goodput %.3f, was %.3f at saturation", eng, l.name, goodput, peak)
				}
			}
			peak = max(peak, goodput)
		}
	}
}
