// Command damask-load sends an open-loop load to entry VMs and checks every
// response. With -deployment it runs experiments on sample deployments in its
// own process instead.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"damaskbridge.example/damaskbridge/load"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "load: "+err.Error())
		os.Exit(1)
	}
}

func run() error {
	var experiments experimentFlags
	experiments.register()
	config := flag.String("config", "", "file with the run options, in YAML")
	rate := flag.Float64("rate", 0, "requests per second; overrides the file")
	duration := flag.Duration("duration", 0, "duration of the schedule; overrides the file")
	seed := flag.Uint64("seed", 0, "random seed; overrides the file")
	fleet := flag.String("fleet", "", "base URL of the fleet's admin server, to check what the upstreams executed")
	asJSON := flag.Bool("json", false, "write the result as JSON")
	check := flag.Bool("check", false, "check the settings and exit")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println(versionString())
		return nil
	}
	if experiments.local.Deployment != "" {
		return runExperiments(&experiments, *rate, *duration, *check, *asJSON)
	}
	if *config == "" {
		return errors.New("-config or -deployment is required")
	}
	o, err := load.LoadOptions(*config)
	if err != nil {
		return err
	}
	if *rate > 0 {
		o.RatePerSecond = *rate
	}
	if *duration > 0 {
		o.Duration = *duration
	}
	if *seed > 0 {
		o.Seed = *seed
	}
	if *fleet != "" {
		o.Observer = load.HTTPObserver{URL: *fleet}
	}
	if err := o.Check(); err != nil {
		return fmt.Errorf("%s: %w", *config, err)
	}
	if *check {
		fmt.Println("load: the settings are valid")
		return nil
	}
	ctx, stop := signalContext()
	defer stop()
	report, err := load.Run(ctx, o)
	if report != nil {
		if writeErr := writeReport(report, *asJSON); writeErr != nil {
			return writeErr
		}
	}
	return err
}

// runExperiments builds the plan of the flags and runs it; with check it only
// validates it.
func runExperiments(f *experimentFlags, rate float64, duration time.Duration, check, asJSON bool) error {
	plan, err := f.plan(rate, duration)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("load: the settings are valid")
		return nil
	}
	ctx, stop := signalContext()
	defer stop()
	return f.run(ctx, plan, asJSON)
}

// signalContext returns a context that SIGINT or SIGTERM cancels.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// writeReport writes the report to standard output as a table or as JSON.
func writeReport(report *load.Report, asJSON bool) error {
	if !asJSON {
		return report.WriteTable(os.Stdout)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(report)
}

func versionString() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return "damask-load " + info.Main.Version
	}
	return "damask-load unknown"
}
