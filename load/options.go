package load

import (
	"errors"
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// Entry is one entry VM.
type Entry struct {
	Name   string     `json:"name" yaml:"name"`
	URL    string     `json:"url" yaml:"url"`
	Region ids.Region `json:"region" yaml:"region"`
}

// Workspace is one caller of the mix.
type Workspace struct {
	Name  string `yaml:"name"`
	Token string `yaml:"token"`
	// Share is the workspace's part of the requests, relative to the others.
	Share float64 `yaml:"share"`
}

// Profile is one kind of request of the mix.
type Profile struct {
	Kind Kind `yaml:"kind"`
	// Weight is the profile's part of the requests, relative to the others.
	Weight float64 `yaml:"weight"`
	// Priority is interactive, normal or batch; empty sends no priority.
	Priority string `yaml:"priority"`
	// Deadline is the time that the caller can wait.
	Deadline time.Duration `yaml:"deadline"`
	// Target is the pipeline or the service.
	Target string `yaml:"target"`
	// Op is the operation of a service.
	Op string `yaml:"op"`
	// Stages are the kinds of the pipeline's stages, to compute the expected
	// response.
	Stages []string `yaml:"stages"`
	// MaxTokens limits the response of a pipeline.
	MaxTokens int `yaml:"max_tokens"`
	// InputBytes is the size of the input or body; the default is 200.
	InputBytes int `yaml:"input_bytes"`
	// SharedPrefix is the number of distinct prompt prefixes that the inputs
	// of this profile begin with; 0 makes inputs without one.
	SharedPrefix int `yaml:"shared_prefix"`
}

// Options describe one run.
type Options struct {
	Entries    []Entry     `yaml:"entries"`
	Workspaces []Workspace `yaml:"workspaces"`
	Mix        []Profile   `yaml:"mix"`
	// RatePerSecond is the mean rate of all requests together.
	RatePerSecond float64 `yaml:"rate_per_second"`
	// Duration is the time over which requests are scheduled.
	Duration time.Duration `yaml:"duration"`
	// Bursts multiply the rate for a time.
	Bursts []Burst `yaml:"bursts"`
	// Seed determines the schedule and the content.
	Seed uint64 `yaml:"seed"`
	// MaxRetries is the number of further tries of a request; the default is
	// 2, a negative value allows none.
	MaxRetries int `yaml:"max_retries"`
	// MaxInFlight bounds the open requests; the default is 20,000. Requests
	// that wait for it count from their scheduled time.
	MaxInFlight int `yaml:"max_in_flight"`
	// Grace is the time after the deadline for which a late response is still
	// awaited; the default is 2 s.
	Grace time.Duration `yaml:"grace"`
	// ReadyInterval is the time between two checks of /readyz; the default is
	// 200 ms.
	ReadyInterval time.Duration `yaml:"ready_interval"`
	// Settle is the time after the run in which work may still end before the
	// upstreams are asked what ran; the default is 5 s.
	Settle time.Duration `yaml:"settle"`
	// Observer tells what really ran; nil leaves refusals and keys unchecked.
	Observer Observer `yaml:"-"`
}

// Burst multiplies the rate from Start to Start plus Duration.
type Burst struct {
	Start    time.Duration `yaml:"start"`
	Duration time.Duration `yaml:"duration"`
	Factor   float64       `yaml:"factor"`
}

// Defaults of a run.
const (
	defaultRetries       = 2
	defaultInFlight      = 20_000
	defaultGrace         = 2 * time.Second
	defaultReadyInterval = 200 * time.Millisecond
	defaultSettle        = 5 * time.Second
	defaultInputBytes    = 200
	maxRequests          = 5_000_000
)

func (o *Options) setDefaults() {
	if o.MaxRetries == 0 {
		o.MaxRetries = defaultRetries
	}
	o.MaxRetries = max(o.MaxRetries, 0)
	if o.MaxInFlight == 0 {
		o.MaxInFlight = defaultInFlight
	}
	setDuration(&o.Grace, defaultGrace)
	setDuration(&o.ReadyInterval, defaultReadyInterval)
	setDuration(&o.Settle, defaultSettle)
	mix := append([]Profile{}, o.Mix...)
	for i := range mix {
		if mix[i].InputBytes == 0 {
			mix[i].InputBytes = defaultInputBytes
		}
	}
	o.Mix = mix
}

func setDuration(v *time.Duration, standard time.Duration) {
	if *v == 0 {
		*v = standard
	}
}

// Check says what is wrong with the options.
func (o Options) Check() error {
	if len(o.Entries) == 0 {
		return errors.New("load: entries: add at least one entry VM")
	}
	for _, e := range o.Entries {
		if e.URL == "" {
			return fmt.Errorf("load: entry %q: url: set it to http://ip:port", e.Name)
		}
	}
	if len(o.Workspaces) == 0 {
		return errors.New("load: workspaces: add at least one")
	}
	for _, w := range o.Workspaces {
		if w.Token == "" || w.Share <= 0 {
			return fmt.Errorf("load: workspace %q: token must be set and share above 0", w.Name)
		}
	}
	if len(o.Mix) == 0 {
		return errors.New("load: mix: add at least one profile")
	}
	for i, p := range o.Mix {
		if err := p.check(); err != nil {
			return fmt.Errorf("load: mix: profile %d: %w", i+1, err)
		}
	}
	if o.RatePerSecond <= 0 || o.Duration <= 0 {
		return errors.New("load: rate_per_second and duration must be above 0")
	}
	if o.RatePerSecond*o.Duration.Seconds() > maxRequests {
		return fmt.Errorf("load: a run may have at most %d requests; lower the rate or the duration", maxRequests)
	}
	return nil
}

func (p Profile) check() error {
	switch {
	case !p.Kind.known():
		return fmt.Errorf("kind %q is not known; see load.Kind", p.Kind)
	case p.Weight <= 0:
		return errors.New("weight must be above 0")
	case p.Deadline <= 0:
		return errors.New("deadline must be above 0")
	case p.Target == "":
		return errors.New("target: name the pipeline or service")
	case p.Kind.service() && p.Op == "":
		return errors.New("op: name the operation")
	case !p.Kind.service() && len(p.Stages) == 0:
		return errors.New("stages: give the kinds of the pipeline's stages")
	case !p.Kind.service() && p.MaxTokens <= 0:
		return errors.New("max_tokens must be above 0")
	}
	return nil
}
