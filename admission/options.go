package admission

import (
	"errors"
	"time"
)

// Default values of Options and LimiterOptions.
const (
	DefaultInitialLimit     = 64
	DefaultMinLimit         = 2
	DefaultMaxLimit         = 1024
	DefaultTolerance        = 1.5
	DefaultWindow           = 100 * time.Millisecond
	DefaultWindowSamples    = 8
	DefaultBaselineRise     = 5 * time.Minute
	DefaultBaselineIdle     = 10 * time.Second
	DefaultDemandFraction   = 0.3
	DefaultBackoff          = 0.9
	DefaultDropTolerance    = 0.02
	DefaultMaxQueued        = 1024
	DefaultOverloadAfter    = 200 * time.Millisecond
	DefaultNormalGuarantee  = 0.10
	DefaultBatchGuarantee   = 0.05
	DefaultShareBurst       = 20
	DefaultMaxBatchFraction = 0.8
	DefaultRetryMin         = 100 * time.Millisecond
	DefaultRetryMax         = 30 * time.Second
)

// Options configures a Gate.
type Options struct {
	Limiter LimiterOptions
	// MaxQueued is the maximum number of queued requests; with 0 none are queued.
	MaxQueued int
	// OverloadAfter is how long the queue must have been non-empty before the
	// gate counts as overloaded and serves the newest requests first.
	OverloadAfter time.Duration
	// NormalGuarantee and BatchGuarantee are the fractions of the grants that
	// these priorities receive while they have waiting requests, regardless of
	// the load of higher priorities.
	NormalGuarantee, BatchGuarantee float64
	// ShareBurst is the number of requests of cost 1, at weight 1, by which a
	// workspace may exceed its share. Above that, requests of other workspaces
	// with the next lower priority are served before its own.
	ShareBurst float64
	// MaxBatchFraction is the fraction of the limit that batch requests may
	// occupy, so that long batch requests leave slots for short interactive ones.
	MaxBatchFraction float64
	// RetryMin and RetryMax bound the expected drain time from which the retry
	// hint is computed. The offset that spreads the hints is added after that.
	RetryMin, RetryMax time.Duration
}

// LimiterOptions configures a Limiter.
type LimiterOptions struct {
	// Initial, Min and Max are concurrency limits in requests.
	Initial, Min, Max float64
	// Tolerance is the ratio of latency to baseline above which the limit falls.
	// The baseline is the long-term minimum of the median latency.
	Tolerance float64
	// Window and WindowSamples are the minimum duration and number of samples of
	// the window after which the limit is adjusted.
	Window        time.Duration
	WindowSamples int
	// BaselineRise is the time constant with which the baseline follows a higher
	// latency while at least half of the limit is in use, and BaselineIdle the
	// one while less is in use.
	BaselineRise, BaselineIdle time.Duration
	// DemandFraction is the fraction of the VM's demand, in slots, that enters the
	// additive step of each window. It keeps the limits of VMs in proportion to
	// their demand while latency is above Tolerance.
	DemandFraction float64
	// Backoff is the factor applied to the limit after a window in which the
	// fraction of drops (429s and timeouts) among the samples exceeds
	// DropTolerance.
	Backoff       float64
	DropTolerance float64
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Limiter: LimiterOptions{
			Initial:        DefaultInitialLimit,
			Min:            DefaultMinLimit,
			Max:            DefaultMaxLimit,
			Tolerance:      DefaultTolerance,
			Window:         DefaultWindow,
			WindowSamples:  DefaultWindowSamples,
			BaselineRise:   DefaultBaselineRise,
			BaselineIdle:   DefaultBaselineIdle,
			DemandFraction: DefaultDemandFraction,
			Backoff:        DefaultBackoff,
			DropTolerance:  DefaultDropTolerance,
		},
		MaxQueued:        DefaultMaxQueued,
		OverloadAfter:    DefaultOverloadAfter,
		NormalGuarantee:  DefaultNormalGuarantee,
		BatchGuarantee:   DefaultBatchGuarantee,
		ShareBurst:       DefaultShareBurst,
		MaxBatchFraction: DefaultMaxBatchFraction,
		RetryMin:         DefaultRetryMin,
		RetryMax:         DefaultRetryMax,
	}
}

// Check returns an error that describes the first invalid option.
func (o Options) Check() error {
	l := o.Limiter
	switch {
	case l.Min < 1 || l.Max < l.Min || l.Initial < l.Min || l.Initial > l.Max:
		return errors.New("admission: limits must satisfy 1 <= Limiter.Min <= Limiter.Initial <= Limiter.Max")
	case l.Tolerance < 1:
		return errors.New("admission: Limiter.Tolerance must be at least 1")
	case l.Window <= 0 || l.WindowSamples < 1 || l.BaselineRise <= 0 || l.BaselineIdle <= 0:
		return errors.New("admission: Limiter.Window, WindowSamples, BaselineRise and BaselineIdle must be positive")
	case l.Backoff <= 0 || l.Backoff >= 1:
		return errors.New("admission: Limiter.Backoff must be above 0 and below 1")
	case o.MaxQueued < 0:
		return errors.New("admission: MaxQueued must not be negative; 0 disables queueing")
	case o.NormalGuarantee < 0 || o.BatchGuarantee < 0 || o.NormalGuarantee+o.BatchGuarantee >= 1:
		return errors.New("admission: NormalGuarantee and BatchGuarantee must not be negative and their sum must be below 1")
	case o.ShareBurst < 0:
		return errors.New("admission: ShareBurst must not be negative")
	case o.MaxBatchFraction <= 0 || o.MaxBatchFraction > 1:
		return errors.New("admission: MaxBatchFraction must be above 0 and at most 1")
	case o.RetryMin <= 0 || o.RetryMax < o.RetryMin:
		return errors.New("admission: RetryMin must be positive and must not exceed RetryMax")
	}
	return nil
}
