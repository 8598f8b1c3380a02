package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/standin"
)

// Plan is a set of runs: each scenario with each seed and each baseline.
type Plan struct {
	Start     Start
	Baselines []string
	Scenarios []Scenario
	Seeds     []uint64
	// Load describes the load; entries, seed, bursts and observer are set for
	// each run.
	Load load.Options
	// Settled is the time between the start of a cluster and its run.
	Settled time.Duration
}

// Check says what is wrong with the plan.
func (p Plan) Check() error {
	switch {
	case p.Start == nil:
		return errors.New("experiment: set Start")
	case len(p.Baselines) == 0 || len(p.Scenarios) == 0 || len(p.Seeds) == 0:
		return errors.New("experiment: add at least one baseline, scenario and seed")
	}
	return nil
}

// Run makes all runs and hands out each row as soon as it is known. The
// baselines of one seed run directly after one another.
func (p Plan) Run(ctx context.Context, each func(Row)) ([]Row, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	var rows []Row
	for _, s := range p.Scenarios {
		for _, seed := range p.Seeds {
			for _, baseline := range p.Baselines {
				if err := ctx.Err(); err != nil {
					return rows, err
				}
				row := p.one(ctx, s, baseline, seed)
				rows = append(rows, row)
				if each != nil {
					each(row)
				}
			}
		}
	}
	return rows, nil
}

// one makes one run. Its failure is part of the row.
func (p Plan) one(ctx context.Context, s Scenario, baseline string, seed uint64) Row {
	row := Row{Scenario: s.Name, Baseline: baseline, Seed: seed, RatePerSecond: p.Load.RatePerSecond}
	c, err := p.Start(ctx, baseline, seed)
	if err != nil {
		row.Error = fmt.Sprintf("start: %v", err)
		return row
	}
	if c.Close != nil {
		defer c.Close()
	}
	timer.Sleep(ctx, p.Settled)
	report, err := p.measure(ctx, s, c, seed)
	row.fill(report)
	row.Unfinished = errors.Is(err, errUnfinished)
	if err != nil && !row.Unfinished {
		row.Error = err.Error()
	}
	return row
}

// errUnfinished says that the load ended before the last action did.
var errUnfinished = errors.New("experiment: the scenario was not finished")

func (p Plan) measure(ctx context.Context, s Scenario, c *Cluster, seed uint64) (*load.Report, error) {
	o := p.Load
	o.Entries = c.Entries
	o.Seed = seed
	o.Bursts = append(append([]load.Burst{}, o.Bursts...), s.bursts(o.Duration)...)
	if c.Fleet != nil {
		o.Observer = load.FleetObserver{Fleet: c.Fleet}
	}
	env := &Env{Cluster: c, Rand: rand.New(rand.NewPCG(seed, 0x73636e)), Duration: o.Duration}
	acting, stop := context.WithCancel(ctx)
	wait := act(acting, s.Actions, env)
	report, err := load.Run(ctx, o)
	stop()
	if failed := wait(); failed != nil && err == nil {
		err = failed
	}
	if c.Fleet != nil {
		_ = c.Fleet.Fault(standin.Selector{}, standin.Fault{Kind: standin.FaultReturn})
	}
	return report, err
}

// act starts the actions at their times. The result waits for their end.
func act(ctx context.Context, actions []Action, env *Env) func() error {
	start := time.Now()
	var running sync.WaitGroup
	errs := make([]error, len(actions))
	// Rand and the variables that actions share are used by one goroutine.
	running.Go(func() {
		for i, a := range inOrder(actions) {
			if !timer.Sleep(ctx, time.Until(start.Add(part(env.Duration, a.At)))) {
				errs[i] = errUnfinished
				return
			}
			if errs[i] = a.Do(ctx, env); errors.Is(errs[i], context.Canceled) {
				errs[i] = errUnfinished
			}
		}
	})
	return func() error {
		running.Wait()
		return errors.Join(errs...)
	}
}
