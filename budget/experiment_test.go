package budget

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/admission"
	"damaskbridge.example/damaskbridge/internal/virtualtime"
)

var experimentSeeds = flag.Int("experiment.seeds", 1, "seeds of each run of the deadline experiment")

// The model passes requests through four stages, each a station with a number
// of slots and a FIFO queue. Time is virtual, and one stage may become a
// straggler.
const (
	modelTime     = 8 * time.Second
	modelDeadline = time.Second
	modelRate     = 200.0 // requests per second at a load of 1
	modelSpread   = 0.5   // sigma of the log-normal service times
	modelTick     = 5 * time.Millisecond
)

var modelStages = []struct {
	key     Key
	service time.Duration
	slots   int
}{
	{Key{Stage: "encode"}, 20 * time.Millisecond, 8},
	{Key{Stage: "retrieve"}, 30 * time.Millisecond, 12},
	{Key{Stage: "rerank"}, 50 * time.Millisecond, 16},
	{Key{Stage: "generate"}, 250 * time.Millisecond, 50},
}

type station struct {
	running int
	queue   []func() bool
}

// result holds fractions of one run: requests answered in time, requests
// rejected early, and service time wasted on requests that were not answered in
// time.
type result struct{ inTime, rejected, wasted float64 }

// policies selects the policies of a run: cancellation according to the plan,
// an admission gate before each stage that uses Plan.Need, and early rejection
// at the start, based on the time that remains after the current waits at the
// gates.
type policies struct {
	name                string
	cancel, gate, early bool
}

var policySets = []policies{
	{"none", false, false, false},
	{"early only", false, false, true},
	{"cancel", true, false, false},
	{"cancel+gate", true, true, false},
	{"all", true, true, true},
}

type model struct {
	virtualtime.Clock
	policies policies
	slow     func(stage int, at time.Duration) float64
	tracker  *Tracker
	keys     []Key
	stations []station
	gates    []*admission.Gate
	granted  []map[admission.Ticket]func()

	offered, inTime, rejected int
	spent, useful             time.Duration
}

func (m *model) wall() time.Time { return start.Add(m.Now()) }

// handleEvents processes the events of a stage's gate.
func (m *model) handleEvents(i int) {
	for _, e := range m.gates[i].Events() {
		run := m.granted[i][e.Ticket]
		delete(m.granted[i], e.Ticket)
		if e.Rejection != nil {
			m.rejected++
			continue
		}
		run()
	}
}

func (m *model) startQueued(i int) {
	s := &m.stations[i]
	for s.running < modelStages[i].slots && len(s.queue) > 0 {
		begin := s.queue[0]
		s.queue = s.queue[1:]
		if begin() {
			s.running++
		}
	}
}

// gateWaits returns the sum of the waits before the gates of all stages.
func (m *model) gateWaits() (total time.Duration) {
	for _, g := range m.gates {
		total += g.EstimateWait(admission.Request{Priority: admission.Normal}, m.wall())
	}
	return total
}

func (m *model) enter(i int, began time.Duration, demands []time.Duration, used time.Duration) {
	if i == len(modelStages) {
		if m.Now()-began <= modelDeadline {
			m.inTime++
			m.useful += used
		}
		return
	}
	left := modelDeadline - (m.Now() - began)
	if m.policies.early && i == 0 {
		if m.policies.gate {
			left -= m.gateWaits()
		}
		if !m.tracker.Plan(m.keys, left, m.wall()).Feasible {
			m.rejected++
			return
		}
	}
	if !m.policies.gate {
		m.serve(i, began, demands, used, func(admission.Sample) {})
		return
	}
	plan := m.tracker.Plan(m.keys[i:], modelDeadline-(m.Now()-began), m.wall())
	g := m.gates[i]
	// run captures the ticket before Offer returns it, because Offer may grant it
	// immediately.
	var t admission.Ticket
	var run func()
	t = g.Offer(admission.Request{
		Workspace: "w", Priority: admission.Normal, Started: i > 0,
		Deadline: start.Add(began + modelDeadline), RemainingTime: plan.Need,
	}, m.wall())
	run = func() {
		m.serve(i, began, demands, used, func(s admission.Sample) {
			g.Release(t, s, m.wall())
			m.handleEvents(i)
		})
	}
	m.granted[i][t] = run
	m.handleEvents(i)
}

func (m *model) serve(i int, began time.Duration, demands []time.Duration, used time.Duration, release func(admission.Sample)) {
	entered, startedAt := m.Now(), m.Now()
	ended, running := false, false
	m.stations[i].queue = append(m.stations[i].queue, func() bool {
		if ended {
			return false
		}
		running, startedAt = true, m.Now()
		d := time.Duration(float64(demands[i]) * m.slow(i, m.Now()))
		m.After(d, func() {
			if ended {
				return
			}
			ended = true
			m.stations[i].running--
			m.spent += d
			m.tracker.Observe(m.keys[i], m.Now()-entered, m.wall())
			release(admission.Sample{Latency: m.Now() - entered})
			m.enter(i+1, began, demands, used+d)
			m.startQueued(i)
		})
		return true
	})
	if m.policies.cancel {
		plan := m.tracker.Plan(m.keys[i:], modelDeadline-(m.Now()-began), m.wall())
		m.After(plan.Grants[0].CancelAfter, func() {
			if ended {
				return
			}
			ended = true
			if running {
				m.spent += m.Now() - startedAt
				m.stations[i].running--
				m.startQueued(i)
			}
			m.tracker.Observe(m.keys[i], m.Now()-entered, m.wall())
			release(admission.Sample{Outcome: admission.Dropped})
		})
	}
	m.startQueued(i)
}

// simulate runs one load level and returns its result.
func simulate(load float64, slow func(stage int, at time.Duration) float64, md policies, seed uint64) result {
	m := simulateModel(load, slow, md, seed)
	n := float64(m.offered)
	return result{float64(m.inTime) / n, float64(m.rejected) / n, 1 - float64(m.useful)/float64(m.spent)}
}

func simulateModel(load float64, slow func(stage int, at time.Duration) float64, md policies, seed uint64) *model {
	rng := rand.New(rand.NewPCG(seed, 3))
	m := &model{policies: md, slow: slow, tracker: NewTracker(DefaultOptions()), stations: make([]station, len(modelStages))}
	for _, s := range modelStages {
		m.keys = append(m.keys, s.key)
		m.gates = append(m.gates, admission.NewGate(admission.DefaultOptions()))
		m.granted = append(m.granted, map[admission.Ticket]func(){})
	}
	var arrive, tick func()
	arrive = func() {
		demands := make([]time.Duration, len(modelStages))
		for i, s := range modelStages {
			demands[i] = time.Duration(float64(s.service) * virtualtime.LogNormal(rng, modelSpread))
		}
		m.offered++
		m.enter(0, m.Now(), demands, 0)
		if gap := virtualtime.ArrivalInterval(rng, load*modelRate); m.Now()+gap < modelTime {
			m.After(gap, arrive)
		}
	}
	tick = func() {
		for i, g := range m.gates {
			g.Advance(m.wall())
			m.handleEvents(i)
		}
		if m.Now() < modelTime+2*modelDeadline {
			m.After(modelTick, tick)
		}
	}
	m.After(0, arrive)
	if md.gate {
		m.After(0, tick)
	}
	m.Run()
	return m
}

// Guards against early rejection and cancellation that cost attainment below
// saturation, or that do not keep most of the capacity useful past saturation.
// There they answer several times as many requests in time as no policy does.
func TestExperiment(t *testing.T) {
	uniform := func(int, time.Duration) float64 { return 1 }
	straggler := func(stage int, at time.Duration) float64 {
		if stage == 2 && at > 3*time.Second && at < 5*time.Second {
			return 4
		}
		return 1
	}
	for _, sc := range []struct {
		name string
		load float64
		slow func(int, time.Duration) float64
	}{{"0.5", 0.5, uniform}, {"0.8", 0.8, uniform}, {"1.3", 1.3, uniform}, {"2.0", 2, uniform}, {"straggler", 0.7, straggler}} {
		var results []result
		for _, md := range policySets {
			var sum result
			for seed := range *experimentSeeds {
				r := simulate(sc.load, sc.slow, md, uint64(seed+1))
				n := float64(*experimentSeeds)
				sum = result{sum.inTime + r.inTime/n, sum.rejected + r.rejected/n, sum.wasted + r.wasted/n}
			}
			results = append(results, sum)
			t.Logf("load %-9s %-12s attainment %.3f rejected %.3f wasted %.3f", sc.name, md.name, sum.inTime, sum.rejected, sum.wasted)
		}
		none, both := results[0], results[len(results)-1]
		if both.inTime < none.inTime-0.005 {
			t.Errorf("load %s: attainment %.3f, without the policy %.3f", sc.name, both.inTime, none.inTime)
		}
		if sc.load > 1 && both.inTime < 0.8/sc.load {
			t.Errorf("load %s: attainment %.3f past saturation", sc.name, both.inTime)
		}
	}
}
