package config

import (
	"errors"
	"fmt"
	"time"
)

// Load holds the settings of the load generator.
type Load struct {
	LogLevel Text `yaml:"log_level"`
	// Targets are the base URLs of the entry VMs.
	Targets    []Text          `yaml:"targets"`
	Workspaces []LoadWorkspace `yaml:"workspaces"`
	// RatePerSecond is the open-loop rate of requests over all workspaces.
	RatePerSecond float64  `yaml:"rate_per_second"`
	Duration      Duration `yaml:"duration"`
	// Deadline is sent with each request.
	Deadline Duration `yaml:"deadline"`
	Seed     int64    `yaml:"seed"`
	// Output is the file of the results; empty for standard output.
	Output Text `yaml:"output"`
}

// LoadWorkspace is one workspace that sends requests.
type LoadWorkspace struct {
	Name Text `yaml:"name"`
	// TokenFile holds the workspace token, so that no settings file does.
	TokenFile Text    `yaml:"token_file"`
	Weight    float64 `yaml:"weight"`
	// Pipelines and Services are what it calls, in equal shares.
	Pipelines []Text `yaml:"pipelines"`
	Services  []Text `yaml:"services"`
}

// DefaultLoad gives the defaults.
func DefaultLoad() *Load {
	return &Load{
		LogLevel:      "info",
		RatePerSecond: 10,
		Duration:      Duration(10 * time.Second),
		Deadline:      Duration(5 * time.Second),
		Seed:          1,
	}
}

// Bounds of the load generator's settings.
const (
	minRatePerSecond = 0.01
	maxRatePerSecond = 1e6
	maxRunTime       = Duration(24 * time.Hour)
	minDeadline      = Duration(time.Millisecond)
	maxDeadline      = Duration(time.Hour)
	maxWeight        = 1e6
)

// Check rejects values that cannot work.
func (l *Load) Check() error {
	errs := []error{
		checkLevel("log_level", l.LogLevel),
		checkRange("rate_per_second", l.RatePerSecond, minRatePerSecond, maxRatePerSecond),
		checkRange("duration", l.Duration, minDeadline, maxRunTime),
		checkRange("deadline", l.Deadline, minDeadline, maxDeadline),
	}
	if len(l.Targets) == 0 {
		errs = append(errs, field("targets", "it is missing; list the URLs of the entry VMs"))
	}
	for i, t := range l.Targets {
		errs = append(errs, checkURL(fmt.Sprintf("targets[%d]", i), t))
	}
	if len(l.Workspaces) == 0 {
		errs = append(errs, field("workspaces", "it is missing; list at least one workspace"))
	}
	for i := range l.Workspaces {
		errs = append(errs, l.Workspaces[i].check(fmt.Sprintf("workspaces[%d]", i)))
	}
	return errors.Join(errs...)
}

func (w *LoadWorkspace) check(path string) error {
	errs := []error{
		checkName(path+".name", w.Name),
		checkFolder(path+".token_file", w.TokenFile),
		checkRange(path+".weight", w.Weight, 0, maxWeight),
	}
	if len(w.Pipelines)+len(w.Services) == 0 {
		errs = append(errs, field(path, "it calls nothing; list pipelines or services"))
	}
	return errors.Join(errs...)
}
