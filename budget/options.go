package budget

import (
	"errors"
	"time"
)

// Defaults of Options.
const (
	DefaultHalfLife          = 30 * time.Second
	DefaultHedgePercentile   = 0.95
	DefaultMinProbability    = 0.05
	DefaultMinSamples        = 20
	DefaultNeedPercentile    = 0.5
	DefaultReservePercentile = 0.5
	DefaultMaxKeys           = 1024
)

// Options configures a Tracker.
type Options struct {
	// HalfLife is the time in which old samples lose half of their weight.
	HalfLife time.Duration
	// HedgePercentile is the fraction of attempts that finish before a hedge is
	// sent.
	HedgePercentile float64
	// MinProbability is the minimum probability of meeting the deadline with
	// which a request is started.
	MinProbability float64
	// MinSamples is the minimum weight of samples for a stage's distribution to
	// be used.
	MinSamples float64
	// NeedPercentile is the percentile of each stage's latency that is summed up
	// in Plan.Need.
	NeedPercentile float64
	// ReservePercentile is the percentile of the later stages' latency that is
	// reserved for them: a stage is cancelled once less time is left.
	ReservePercentile float64
	// MaxKeys limits the number of distributions.
	MaxKeys int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		HalfLife:          DefaultHalfLife,
		HedgePercentile:   DefaultHedgePercentile,
		MinProbability:    DefaultMinProbability,
		MinSamples:        DefaultMinSamples,
		NeedPercentile:    DefaultNeedPercentile,
		ReservePercentile: DefaultReservePercentile,
		MaxKeys:           DefaultMaxKeys,
	}
}

// Check returns an error for the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.HalfLife <= 0:
		return errors.New("budget: HalfLife must be positive")
	case o.HedgePercentile <= 0 || o.HedgePercentile >= 1:
		return errors.New("budget: HedgePercentile must be above 0 and below 1")
	case o.MinProbability < 0 || o.MinProbability >= 1:
		return errors.New("budget: MinProbability must be at least 0 and below 1")
	case o.NeedPercentile <= 0 || o.NeedPercentile >= 1 || o.ReservePercentile <= 0 || o.ReservePercentile >= 1:
		return errors.New("budget: NeedPercentile and ReservePercentile must be above 0 and below 1")
	case o.MaxKeys < 1:
		return errors.New("budget: MaxKeys must be at least 1")
	}
	return nil
}
