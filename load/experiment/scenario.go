package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/standin"
)

// Scenario is what happens to a cluster during a run.
type Scenario struct {
	Name string
	// Burst multiplies the load in the middle of the run; 0 does not.
	Burst float64
	// Actions take place at a part of the run's duration, in that order.
	Actions []Action
}

// Action is one event of a scenario.
type Action struct {
	// At is a part of the run's duration, 0 to 1.
	At float64
	Do func(ctx context.Context, e *Env) error
}

// Env is what actions work on.
type Env struct {
	Cluster *Cluster
	// Rand is seeded with the run's seed.
	Rand *rand.Rand
	// Duration is the run's duration.
	Duration time.Duration
}

// Names of scenarios.
const (
	Steady         = "steady"
	Burst          = "burst"
	Straggler      = "straggler"
	StageDead      = "stage_dead"
	LyingUpstream  = "lying_upstream"
	Silent         = "silent_connections"
	EntryKilled    = "entry_killed"
	RegionCut      = "region_cut"
	RollingRestart = "rolling_restart"
)

// Times and sizes of the faults. Faults begin once the system is warm and end
// early enough to see it recover.
const (
	faultBegins     = 0.3
	faultEnds       = 0.7
	stageDeadEnds   = 0.5
	burstFactor     = 3
	stragglerFactor = 10
	liarFactor      = 4
	restartBegins   = 0.2
	restartEnds     = 0.8
)

// Scenarios returns the scenarios with one fault each.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: Steady},
		{Name: Burst, Burst: burstFactor},
		{Name: Straggler, Actions: straggler()},
		{Name: StageDead, Actions: stageDead()},
		{Name: LyingUpstream, Actions: lyingUpstream()},
		{Name: Silent, Actions: silent()},
		{Name: EntryKilled, Actions: entryKilled()},
		{Name: RegionCut, Actions: regionCut()},
		{Name: RollingRestart, Actions: rollingRestart()},
	}
}

// Pairs returns each two different faults together.
func Pairs() []Scenario {
	var pairs []Scenario
	single := Scenarios()[1:]
	for i, a := range single {
		for _, b := range single[i+1:] {
			pairs = append(pairs, Pair(a, b))
		}
	}
	return pairs
}

// Pair returns two scenarios at the same time.
func Pair(a, b Scenario) Scenario {
	actions := append(append([]Action{}, a.Actions...), b.Actions...)
	return Scenario{Name: a.Name + "+" + b.Name, Burst: max(a.Burst, b.Burst), Actions: actions}
}

// Find returns the scenario of a name, or of two names joined by "+".
func Find(name string) (Scenario, bool) {
	for _, s := range append(Scenarios(), Pairs()...) {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// bursts returns the scenario's bursts for a run's duration.
func (s Scenario) bursts(d time.Duration) []load.Burst {
	if s.Burst == 0 {
		return nil
	}
	return []load.Burst{{Start: part(d, faultBegins), Duration: part(d, faultEnds-faultBegins), Factor: s.Burst}}
}

func part(d time.Duration, p float64) time.Duration {
	return time.Duration(float64(d) * p)
}

// from puts faults in force at the beginning of the fault time and ends them
// at a later part of the run, all at the upstreams that choose gives.
func from(choose func(e *Env) []*standin.Upstream, ends float64, faults ...standin.Fault) []Action {
	var chosen []*standin.Upstream
	begin := func(_ context.Context, e *Env) error {
		chosen = choose(e)
		return use(e, chosen, faults...)
	}
	end := func(_ context.Context, e *Env) error {
		return use(e, chosen, standin.Fault{Kind: standin.FaultReturn})
	}
	return []Action{{At: faultBegins, Do: begin}, {At: ends, Do: end}}
}

func use(e *Env, upstreams []*standin.Upstream, faults ...standin.Fault) error {
	for _, u := range upstreams {
		for _, f := range faults {
			if err := e.Cluster.Fleet.Fault(standin.Selector{VM: u.VM}, f); err != nil {
				return err
			}
		}
	}
	return nil
}

// ofKind returns all upstreams of a kind.
func ofKind(kind settings.StageKind) func(e *Env) []*standin.Upstream {
	return func(e *Env) []*standin.Upstream {
		var chosen []*standin.Upstream
		for _, u := range e.Cluster.Fleet.Upstreams() {
			if u.Kind == kind {
				chosen = append(chosen, u)
			}
		}
		return chosen
	}
}

// oneEngine returns an engine chosen by the seed.
func oneEngine(e *Env) []*standin.Upstream {
	engines := ofKind(settings.KindGenerate)(e)
	if len(engines) == 0 {
		return nil
	}
	return engines[e.Rand.IntN(len(engines)):][:1]
}

// oneRegion returns the upstreams of a region chosen by the seed.
func oneRegion(e *Env) []*standin.Upstream {
	regions := e.Cluster.Fleet.Config().Regions
	return e.Cluster.Fleet.Select(standin.Selector{Region: regions[e.Rand.IntN(len(regions))]})
}

func straggler() []Action {
	return from(oneEngine, faultEnds, standin.Fault{Kind: standin.FaultSlow, Factor: stragglerFactor})
}

// stageDead crashes all rerankers.
func stageDead() []Action {
	return from(ofKind(settings.KindRerank), stageDeadEnds, standin.Fault{Kind: standin.FaultCrash})
}

// lyingUpstream makes one engine slow that says it is idle.
func lyingUpstream() []Action {
	return from(oneEngine, faultEnds,
		standin.Fault{Kind: standin.FaultWrongLoad},
		standin.Fault{Kind: standin.FaultSlow, Factor: liarFactor})
}

// silent silences the open connections to the upstreams of one region.
func silent() []Action {
	return from(oneRegion, faultEnds, standin.Fault{Kind: standin.FaultSilent})
}

func entryKilled() []Action {
	index := 0
	kill := func(ctx context.Context, e *Env) error {
		index = e.Rand.IntN(len(e.Cluster.Entries))
		return e.Cluster.kill(ctx, index)
	}
	start := func(ctx context.Context, e *Env) error { return e.Cluster.start(ctx, index) }
	return []Action{{At: faultBegins, Do: kill}, {At: faultEnds, Do: start}}
}

// regionCut isolates the last region.
func regionCut() []Action {
	cut := func(ctx context.Context, e *Env) error {
		regions := e.Cluster.Fleet.Config().Regions
		return e.Cluster.cut(ctx, regions[len(regions)-1])
	}
	restore := func(ctx context.Context, e *Env) error {
		regions := e.Cluster.Fleet.Config().Regions
		if err := e.Cluster.restore(ctx, regions[len(regions)-1]); err != nil {
			return err
		}
		return e.Cluster.linksUsed()
	}
	return []Action{{At: faultBegins, Do: cut}, {At: faultEnds, Do: restore}}
}

func rollingRestart() []Action {
	return []Action{{At: restartBegins, Do: func(ctx context.Context, e *Env) error {
		all := e.Cluster.Fleet.Upstreams()
		step := part(e.Duration, restartEnds-restartBegins) / time.Duration(len(all))
		for _, u := range all {
			if err := restart(ctx, e, u, step); err != nil {
				return err
			}
		}
		return nil
	}}}
}

// restart drains an upstream, ends it once it has no work or its time is over,
// and starts it again.
func restart(ctx context.Context, e *Env, u *standin.Upstream, limit time.Duration) error {
	one := []*standin.Upstream{u}
	if err := use(e, one, standin.Fault{Kind: standin.FaultDrain}); err != nil {
		return err
	}
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if !timer.Sleep(ctx, restartPoll) {
			return ctx.Err()
		}
	}
	for range maxDrainPolls {
		if running, waiting := u.RealLoad(); running+waiting == 0 {
			break
		}
		if !timer.Sleep(ctx, restartPoll) {
			return ctx.Err()
		}
	}
	return use(e, one, standin.Fault{Kind: standin.FaultCrash}, standin.Fault{Kind: standin.FaultReturn})
}

const (
	// restartPoll is the time between two looks at a draining upstream.
	restartPoll = 5 * time.Millisecond
	// maxDrainPolls bounds the wait for a draining upstream's last work.
	maxDrainPolls = 2000
)
