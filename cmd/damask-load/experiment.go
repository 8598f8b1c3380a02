package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/load/experiment"
	"damaskbridge.example/damaskbridge/load/experiment/local"
	"damaskbridge.example/damaskbridge/sample"
)

// experimentFlags holds the flags of experiments on deployments in this process.
type experimentFlags struct {
	local      local.Options
	scenarios  string
	baselines  string
	seeds      string
	sweepRates string
	svgPath    string
	warmup     time.Duration
}

func (f *experimentFlags) register() {
	flag.StringVar(&f.local.Deployment, "deployment", "", "sample deployment for experiments in this process: guild, nilegate or dev")
	flag.IntVar(&f.local.Controls, "controls", 3, "number of control VMs")
	flag.IntVar(&f.local.Entries, "entries", 7, "number of entry VMs")
	flag.Float64Var(&f.local.TimeScale, "time-scale", 0, "factor applied to the upstreams' processing times; 0 keeps that of the deployment")
	flag.StringVar(&f.scenarios, "scenarios", "all", "comma-separated scenario names, all, or pairs")
	flag.StringVar(&f.baselines, "baselines", local.Full, "comma-separated baseline names: "+strings.Join(local.Baselines(), ", "))
	flag.StringVar(&f.seeds, "seeds", "1,2,3", "comma-separated random seeds")
	flag.StringVar(&f.sweepRates, "sweep", "", "comma-separated request rates per second: runs a steady load at each rate instead of the scenarios")
	flag.StringVar(&f.svgPath, "svg", "", "output file for an SVG plot of attainment against load")
	flag.DurationVar(&f.warmup, "warmup", time.Second, "delay between the start of a deployment and its load")
}

// plan returns the experiment plan that the flags describe, or an error if they
// are invalid.
func (f *experimentFlags) plan(rate float64, duration time.Duration) (experiment.Plan, error) {
	p := experiment.Plan{Start: local.Start(f.local), Baselines: strings.Split(f.baselines, ","), Settled: f.warmup}
	if err := f.local.Check(); err != nil {
		return p, err
	}
	if duration <= 0 {
		return p, errors.New("-duration must be above 0")
	}
	if f.sweepRates != "" {
		// Each run of a sweep sets its own rate, but the plan's own rate must be
		// valid too.
		rate = max(rate, 1)
	}
	if rate <= 0 {
		return p, errors.New("-rate or -sweep is required")
	}
	d, err := sample.ByName(f.local.Deployment)
	if err != nil {
		return p, err
	}
	p.Load = load.Options{Workspaces: d.Workspaces, Mix: d.Mix, RatePerSecond: rate, Duration: duration}
	for _, text := range strings.Split(f.seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return p, fmt.Errorf("-seeds: %q: %w", text, err)
		}
		p.Seeds = append(p.Seeds, seed)
	}
	p.Scenarios, err = f.selectScenarios()
	return p, err
}

// selectScenarios returns the scenarios that -scenarios names.
func (f *experimentFlags) selectScenarios() ([]experiment.Scenario, error) {
	switch f.scenarios {
	case "all":
		return experiment.Scenarios(), nil
	case "pairs":
		return experiment.Pairs(), nil
	}
	var selected []experiment.Scenario
	for _, name := range strings.Split(f.scenarios, ",") {
		s, ok := experiment.Find(name)
		if !ok {
			return nil, fmt.Errorf("scenario %q is not known", name)
		}
		selected = append(selected, s)
	}
	return selected, nil
}

// run executes the plan, reports each run on standard error as it ends, and
// writes the result to standard output and the plot to the -svg file.
func (f *experimentFlags) run(ctx context.Context, p experiment.Plan, asJSON bool) error {
	onRow := func(r experiment.Row) {
		fmt.Fprintf(os.Stderr, "load: %s %s seed %d rate %g: attainment %.4f, violations %d %s\n",
			r.Scenario, r.Baseline, r.Seed, r.RatePerSecond, r.Attainment, r.Violations, r.Error)
	}
	rows, err := f.runPlan(ctx, p, onRow)
	if err != nil {
		return err
	}
	if f.svgPath != "" {
		if err := f.writePlot(rows); err != nil {
			return err
		}
	}
	if asJSON {
		return experiment.WriteJSON(os.Stdout, rows)
	}
	return experiment.WriteTable(os.Stdout, rows)
}

// runPlan runs the scenarios of the plan, or a sweep if -sweep gives rates.
func (f *experimentFlags) runPlan(ctx context.Context, p experiment.Plan, onRow func(experiment.Row)) ([]experiment.Row, error) {
	if f.sweepRates == "" {
		return p.Run(ctx, onRow)
	}
	sweep := experiment.Sweep{Plan: p}
	for _, text := range strings.Split(f.sweepRates, ",") {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil || rate <= 0 {
			return nil, fmt.Errorf("-sweep: %q is not a number above 0", text)
		}
		sweep.Rates = append(sweep.Rates, rate)
	}
	return sweep.Run(ctx, onRow)
}

// writePlot writes the plot of the rows to the -svg file.
func (f *experimentFlags) writePlot(rows []experiment.Row) error {
	file, err := os.Create(f.svgPath)
	if err != nil {
		return err
	}
	if err := experiment.WriteSVG(file, rows); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}
