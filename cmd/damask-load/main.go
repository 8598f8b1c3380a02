// Command damask-load drives entry VMs with an open-loop load and checks every
// response.
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
	config := flag.String("config", "", "file with the options of the run")
	rate := flag.Float64("rate", 0, "requests per second, in place of the file's")
	duration := flag.Duration("duration", 0, "duration of the schedule, in place of the file's")
	seed := flag.Uint64("seed", 0, "seed, in place of the file's")
	fleet := flag.String("fleet", "", "base URL of the fleet's admin address, to check what really ran")
	asJSON := flag.Bool("json", false, "write the report as JSON")
	check := flag.Bool("check", false, "check the settings and exit")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println(buildVersion())
		return nil
	}
	if experiments.local.Deployment != "" {
		return runExperiments(&experiments, *rate, *duration, *check, *asJSON)
	}
	if *config == "" {
		return errors.New("give -config or -deployment")
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
	ctx, stop := interruptible()
	defer stop()
	report, err := load.Run(ctx, o)
	if report != nil {
		if writeErr := write(report, *asJSON); writeErr != nil {
			return writeErr
		}
	}
	return err
}

func runExperiments(f *experimentFlags, rate float64, duration time.Duration, check, asJSON bool) error {
	p, err := f.plan(rate, duration)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("load: the settings are valid")
		return nil
	}
	ctx, stop := interruptible()
	defer stop()
	return f.run(ctx, p, asJSON)
}

func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func write(report *load.Report, asJSON bool) error {
	if !asJSON {
		return report.WriteTable(os.Stdout)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(report)
}

func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return "damask-load " + info.Main.Version
	}
	return "damask-load unknown"
}
