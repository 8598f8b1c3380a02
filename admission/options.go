package admission

import (
	"errors"
	"time"
)

// Defaults of Options.
const (
	DefaultInitialLimit    = 64
	DefaultMinLimit        = 2
	DefaultMaxLimit        = 1024
	DefaultTolerance       = 1.5
	DefaultWindow          = 100 * time.Millisecond
	DefaultWindowSamples   = 8
	DefaultBaselineRise    = 5 * time.Minute
	DefaultBaselineIdle    = 10 * time.Second
	DefaultDemandPart      = 0.3
	DefaultBackoff         = 0.9
	DefaultDropTolerance   = 0.02
	DefaultQueue           = 1024
	DefaultOverloadAfter   = 200 * time.Millisecond
	DefaultNormalGuarantee = 0.10
	DefaultBatchGuarantee  = 0.05
	DefaultShareBurst      = 20
	DefaultBatchCap        = 0.8
	DefaultRetryMin        = 100 * time.Millisecond
	DefaultRetryMax        = 30 * time.Second
)

// Options set a Gate.
type Options struct {
	Limiter LimiterOptions
	// Queue bounds the waiting requests.
	Queue int
	// OverloadAfter is how long the queue must have been non-empty before the
	// newest request is served first.
	OverloadAfter time.Duration
	// NormalGuarantee and BatchGuarantee are the parts of the grants that these
	// priorities get while they wait, whatever the load of higher ones.
	NormalGuarantee, BatchGuarantee float64
	// ShareBurst is the number of requests, for a workspace of weight 1, by
	// which a workspace may exceed its share before requests of the next lower
	// priority of other workspaces go before its own.
	ShareBurst float64
	// BatchCap is the part of the limit that batch requests may occupy, so that
	// long reports leave room for lookups.
	BatchCap float64
	// RetryMin and RetryMax bound the retry hint.
	RetryMin, RetryMax time.Duration
}

// LimiterOptions set a Limiter.
type LimiterOptions struct {
	Initial, Min, Max float64
	// Tolerance is how far latency may rise above the long-term minimum before
	// the limit falls.
	Tolerance float64
	// Window and WindowSamples are the least time and number of samples for one
	// change of the limit.
	Window        time.Duration
	WindowSamples int
	// BaselineRise is the time constant with which the long-term minimum follows
	// a higher latency while the limit is in use, and BaselineIdle that while
	// less than half of it is in use.
	BaselineRise, BaselineIdle time.Duration
	// DemandPart is the part of the VM's demand, in places, that each window may
	// add to the limit while latency is above Tolerance.
	DemandPart float64
	// Backoff multiplies the limit once for each window with drops (429s and
	// timeouts) above DropTolerance, a part of the window's samples.
	Backoff       float64
	DropTolerance float64
}

// DefaultOptions gives the defaults.
func DefaultOptions() Options {
	return Options{
		Limiter: LimiterOptions{
			Initial:       DefaultInitialLimit,
			Min:           DefaultMinLimit,
			Max:           DefaultMaxLimit,
			Tolerance:     DefaultTolerance,
			Window:        DefaultWindow,
			WindowSamples: DefaultWindowSamples,
			BaselineRise:  DefaultBaselineRise,
			BaselineIdle:  DefaultBaselineIdle,
			DemandPart:    DefaultDemandPart,
			Backoff:       DefaultBackoff,
			DropTolerance: DefaultDropTolerance,
		},
		Queue:           DefaultQueue,
		OverloadAfter:   DefaultOverloadAfter,
		NormalGuarantee: DefaultNormalGuarantee,
		BatchGuarantee:  DefaultBatchGuarantee,
		ShareBurst:      DefaultShareBurst,
		BatchCap:        DefaultBatchCap,
		RetryMin:        DefaultRetryMin,
		RetryMax:        DefaultRetryMax,
	}
}

// Check reports the first option that is out of bounds.
func (o Options) Check() error {
	l := o.Limiter
	switch {
	case l.Min < 1 || l.Max < l.Min || l.Initial < l.Min || l.Initial > l.Max:
		return errors.New("admission: limits must satisfy 1 <= Min <= Initial <= Max")
	case l.Tolerance < 1:
		return errors.New("admission: Tolerance is below 1; set at least 1")
	case l.Window <= 0 || l.WindowSamples < 1 || l.BaselineRise <= 0 || l.BaselineIdle <= 0:
		return errors.New("admission: Window, WindowSamples, BaselineRise and BaselineIdle must be positive")
	case l.Backoff <= 0 || l.Backoff >= 1:
		return errors.New("admission: Backoff must lie between 0 and 1")
	case o.Queue < 0:
		return errors.New("admission: Queue is negative; set 0 for none")
	case o.NormalGuarantee < 0 || o.BatchGuarantee < 0 || o.NormalGuarantee+o.BatchGuarantee >= 1:
		return errors.New("admission: the guarantees must be at least 0 and together below 1")
	case o.ShareBurst < 0:
		return errors.New("admission: ShareBurst is negative; set 0 or more")
	case o.BatchCap <= 0 || o.BatchCap > 1:
		return errors.New("admission: BatchCap must be above 0 and at most 1")
	case o.RetryMin <= 0 || o.RetryMax < o.RetryMin:
		return errors.New("admission: RetryMin must be positive and at most RetryMax")
	}
	return nil
}
