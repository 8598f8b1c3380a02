package routing

import (
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// Default values of Options, EjectionOptions and CircuitOptions.
const (
	DefaultSlots                 = 4
	DefaultReportDecay           = time.Second
	DefaultLatencyDecay          = 10 * time.Second
	DefaultNearEqual             = 0.1
	DefaultNearEqualMS           = 1
	DefaultMaxScored             = 64
	DefaultRegionPenaltyMS       = 60
	DefaultTransferMSPerMB       = 200
	DefaultPrefixSavedMSPerBlock = 4
	DefaultPrefixDecay           = 60 * time.Second
	DefaultPrefixBlocks          = 4096
	DefaultEjectFailures         = 5
	DefaultEjectLatency          = 3.0
	DefaultEjectSamples          = 10
	DefaultEjectMaxPercent       = 50
	DefaultEjectBase             = 2 * time.Second
	DefaultEjectMax              = 60 * time.Second
	DefaultConnectFailures       = 3
	DefaultCircuitBase           = 250 * time.Millisecond
	DefaultCircuitMax            = 8 * time.Second
	DefaultProbeTimeout          = 30 * time.Second
	DefaultInitialLatencyMS      = 50
)

// Options configures a Router.
type Options struct {
	// Region is the VM's own region.
	Region ids.Region
	// CrossRegion permits upstreams of other regions.
	CrossRegion bool
	// Slots is the number of requests that an upstream serves concurrently without
	// slowing down. Each request at an upstream costs the pool's median latency
	// divided by Slots.
	Slots float64
	// ReportDecay is the age at which the weight of a load report falls to 1/e.
	ReportDecay time.Duration
	// LatencyDecay is the time after which the weight of an upstream's measured
	// latency against the median of its region falls to 1/e. The cost of failures
	// decays at the same rate.
	LatencyDecay time.Duration
	// NearEqual and NearEqualMS define which candidates count as equal to the
	// cheapest one: cost <= best*(1+NearEqual) + NearEqualMS.
	NearEqual   float64
	NearEqualMS float64
	// MaxScored is the maximum number of candidates scored for one choice. From a
	// larger pool a random sample is taken.
	MaxScored int
	// RegionPenaltyMS is the cost of an upstream outside the region of the data,
	// and TransferMSPerMB the additional cost per MiB transferred between regions.
	RegionPenaltyMS float64
	TransferMSPerMB float64
	// PrefixSavedMSPerBlock is the time in milliseconds that one cached prefix
	// block saves.
	PrefixSavedMSPerBlock float64
	// PrefixDecay is the age at which the confidence in a cached block falls to
	// 1/e.
	PrefixDecay time.Duration
	// PrefixBlocks is the maximum number of blocks tracked per upstream.
	PrefixBlocks int
	Ejection     EjectionOptions
	Circuit      CircuitOptions
	// InitialLatencyMS is used as a pool's median latency until there are samples.
	InitialLatencyMS float64
}

// EjectionOptions configures the ejection of outliers.
type EjectionOptions struct {
	// Failures is the number of consecutive failures after which an upstream is
	// ejected.
	Failures int
	// LatencyFactor is the ratio of an upstream's latency to the median of its
	// region above which it is ejected, once it has Samples samples.
	LatencyFactor float64
	Samples       int
	// MaxPercent is the maximum percentage of a pool's upstreams that may be
	// ejected at the same time. It is at most 50.
	MaxPercent int
	// Base is the initial backoff. It doubles with each failed probe up to Max.
	Base, Max time.Duration
	// ProbeTimeout is the time after which another probe is allowed if Done has
	// not been called for the last one. It also applies to circuits.
	ProbeTimeout time.Duration
}

// CircuitOptions configures the circuit breaker for connect failures.
type CircuitOptions struct {
	// Failures is the number of consecutive connect failures that open the
	// circuit.
	Failures int
	// Base is the initial backoff. It doubles with each failed probe up to Max.
	Base, Max time.Duration
}

// DefaultOptions returns the default options for a VM of the region.
func DefaultOptions(region ids.Region) Options {
	return Options{
		Region:                region,
		CrossRegion:           true,
		Slots:                 DefaultSlots,
		ReportDecay:           DefaultReportDecay,
		LatencyDecay:          DefaultLatencyDecay,
		NearEqual:             DefaultNearEqual,
		NearEqualMS:           DefaultNearEqualMS,
		MaxScored:             DefaultMaxScored,
		RegionPenaltyMS:       DefaultRegionPenaltyMS,
		TransferMSPerMB:       DefaultTransferMSPerMB,
		PrefixSavedMSPerBlock: DefaultPrefixSavedMSPerBlock,
		PrefixDecay:           DefaultPrefixDecay,
		PrefixBlocks:          DefaultPrefixBlocks,
		InitialLatencyMS:      DefaultInitialLatencyMS,
		Ejection: EjectionOptions{
			Failures:      DefaultEjectFailures,
			LatencyFactor: DefaultEjectLatency,
			Samples:       DefaultEjectSamples,
			MaxPercent:    DefaultEjectMaxPercent,
			Base:          DefaultEjectBase,
			Max:           DefaultEjectMax,
			ProbeTimeout:  DefaultProbeTimeout,
		},
		Circuit: CircuitOptions{
			Failures: DefaultConnectFailures,
			Base:     DefaultCircuitBase,
			Max:      DefaultCircuitMax,
		},
	}
}

// Check returns an error that describes the first invalid option.
func (o Options) Check() error {
	switch {
	case o.Slots <= 0:
		return errors.New("routing: Slots must be positive")
	case o.ReportDecay <= 0 || o.LatencyDecay <= 0 || o.PrefixDecay <= 0:
		return errors.New("routing: ReportDecay, LatencyDecay and PrefixDecay must be positive")
	case o.MaxScored < 2:
		return errors.New("routing: MaxScored must be at least 2")
	case o.Ejection.MaxPercent < 0 || o.Ejection.MaxPercent > 50:
		return errors.New("routing: Ejection.MaxPercent must be between 0 and 50")
	case o.Ejection.Base <= 0 || o.Ejection.Max < o.Ejection.Base:
		return errors.New("routing: Ejection.Base must be positive and must not exceed Ejection.Max")
	case o.Circuit.Failures < 1 || o.Circuit.Base <= 0 || o.Circuit.Max < o.Circuit.Base:
		return errors.New("routing: Circuit.Failures must be at least 1, and Circuit.Base must be positive and must not exceed Circuit.Max")
	}
	return nil
}
