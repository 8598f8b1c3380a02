package budget

import (
	"errors"
	"time"
)

// Defaults of Options.
const (
	DefaultHalfLife        = 30 * time.Second
	DefaultHedgePercentile = 0.95
	DefaultMinChance       = 0.05
	DefaultMinSamples      = 20
	DefaultNeedPercentile  = 0.5
	DefaultRestPercentile  = 0.5
	DefaultKeys            = 1024
)

// Options set a Tracker.
type Options struct {
	// HalfLife is the time in which old samples lose half of their weight.
	HalfLife time.Duration
	// HedgePercentile is the part of attempts that end before a hedge is sent.
	HedgePercentile float64
	// MinChance is the least probability of meeting the deadline with which a
	// request is begun.
	MinChance float64
	// MinSamples is the weight of samples below which a stage's distribution
	// rejects nothing.
	MinSamples float64
	// NeedPercentile is the percentile of each stage that makes up Plan.Need.
	NeedPercentile float64
	// RestPercentile is the percentile of the later stages that is kept for
	// them: a stage is cancelled once less than that is left.
	RestPercentile float64
	// Keys bounds the number of distributions.
	Keys int
}

// DefaultOptions gives the defaults.
func DefaultOptions() Options {
	return Options{
		HalfLife:        DefaultHalfLife,
		HedgePercentile: DefaultHedgePercentile,
		MinChance:       DefaultMinChance,
		MinSamples:      DefaultMinSamples,
		NeedPercentile:  DefaultNeedPercentile,
		RestPercentile:  DefaultRestPercentile,
		Keys:            DefaultKeys,
	}
}

// Check reports the first option that is out of bounds.
func (o Options) Check() error {
	switch {
	case o.HalfLife <= 0:
		return errors.New("budget: HalfLife must be positive")
	case o.HedgePercentile <= 0 || o.HedgePercentile >= 1:
		return errors.New("budget: HedgePercentile must lie between 0 and 1")
	case o.MinChance < 0 || o.MinChance >= 1:
		return errors.New("budget: MinChance must be at least 0 and below 1")
	case o.NeedPercentile <= 0 || o.NeedPercentile >= 1 || o.RestPercentile <= 0 || o.RestPercentile >= 1:
		return errors.New("budget: NeedPercentile and RestPercentile must lie between 0 and 1")
	case o.Keys < 1:
		return errors.New("budget: Keys is below 1; set at least 1")
	}
	return nil
}
