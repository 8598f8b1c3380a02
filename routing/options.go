package routing

import (
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// Defaults of Options.
const (
	DefaultSlots            = 4
	DefaultReportLife       = time.Second
	DefaultLatencyLife      = 10 * time.Second
	DefaultNearEqual        = 0.1
	DefaultNearEqualMS      = 1
	DefaultMaxScored        = 64
	DefaultRegionPenaltyMS  = 60
	DefaultPaidMSPerMB      = 200
	DefaultPrefixSaveMS     = 4
	DefaultPrefixLife       = 60 * time.Second
	DefaultPrefixBlocks     = 4096
	DefaultEjectFailures    = 5
	DefaultEjectLatency     = 3.0
	DefaultEjectSamples     = 10
	DefaultEjectMaxPercent  = 50
	DefaultEjectBase        = 2 * time.Second
	DefaultEjectMax         = 60 * time.Second
	DefaultConnectFailures  = 3
	DefaultCircuitBase      = 250 * time.Millisecond
	DefaultCircuitMax       = 8 * time.Second
	DefaultProbeTimeout     = 30 * time.Second
	DefaultInitialLatencyMS = 50
)

// Options set a Router's weights and bounds.
type Options struct {
	// Region is the VM's own region.
	Region ids.Region
	// CrossRegion allows upstreams of other regions.
	CrossRegion bool
	// Slots is the number of requests that an upstream serves at once without
	// slowing down. One more request costs the pool's median latency / Slots.
	Slots float64
	// ReportLife is the age at which a load report counts by 1/e.
	ReportLife time.Duration
	// LatencyLife is the time in which an upstream's latency falls back by 1/e
	// to the pool's median while it gets no requests.
	LatencyLife time.Duration
	// NearEqual and NearEqualMS set which candidates count as equal to the
	// cheapest one: cost <= best*(1+NearEqual) + NearEqualMS.
	NearEqual   float64
	NearEqualMS float64
	// MaxScored bounds the candidates that are scored for one choice. From a
	// larger pool a random sample is taken.
	MaxScored int
	// RegionPenaltyMS is the cost of an upstream in another region, and
	// PaidMSPerMB that of the bytes carried between regions.
	RegionPenaltyMS float64
	PaidMSPerMB     float64
	// PrefixSaveMS is what one cached prefix block saves.
	PrefixSaveMS float64
	// PrefixLife is the age at which a cache event counts by 1/e.
	PrefixLife time.Duration
	// PrefixBlocks bounds the blocks remembered for one upstream.
	PrefixBlocks int
	Ejection     EjectionOptions
	Circuit      CircuitOptions
	// InitialLatencyMS stands for a pool's median until it has samples.
	InitialLatencyMS float64
}

// EjectionOptions set the ejection of outliers.
type EjectionOptions struct {
	// Failures is the number of consecutive failures that eject.
	Failures int
	// Latency ejects an upstream whose latency exceeds the pool's median by
	// this factor, after Samples samples.
	Latency float64
	Samples int
	// MaxPercent bounds the part of a pool that is ejected; at most 50.
	MaxPercent int
	// Base is the first time without requests; it doubles up to Max with each
	// failed probe.
	Base, Max time.Duration
	// ProbeTimeout frees a probe whose Done is late.
	ProbeTimeout time.Duration
}

// CircuitOptions set the circuit of consecutive connect failures.
type CircuitOptions struct {
	Failures  int
	Base, Max time.Duration
}

// DefaultOptions gives the defaults for a VM of the region.
func DefaultOptions(region ids.Region) Options {
	return Options{
		Region:           region,
		CrossRegion:      true,
		Slots:            DefaultSlots,
		ReportLife:       DefaultReportLife,
		LatencyLife:      DefaultLatencyLife,
		NearEqual:        DefaultNearEqual,
		NearEqualMS:      DefaultNearEqualMS,
		MaxScored:        DefaultMaxScored,
		RegionPenaltyMS:  DefaultRegionPenaltyMS,
		PaidMSPerMB:      DefaultPaidMSPerMB,
		PrefixSaveMS:     DefaultPrefixSaveMS,
		PrefixLife:       DefaultPrefixLife,
		PrefixBlocks:     DefaultPrefixBlocks,
		InitialLatencyMS: DefaultInitialLatencyMS,
		Ejection: EjectionOptions{
			Failures:     DefaultEjectFailures,
			Latency:      DefaultEjectLatency,
			Samples:      DefaultEjectSamples,
			MaxPercent:   DefaultEjectMaxPercent,
			Base:         DefaultEjectBase,
			Max:          DefaultEjectMax,
			ProbeTimeout: DefaultProbeTimeout,
		},
		Circuit: CircuitOptions{
			Failures: DefaultConnectFailures,
			Base:     DefaultCircuitBase,
			Max:      DefaultCircuitMax,
		},
	}
}

// Check reports the first option that is out of bounds.
func (o Options) Check() error {
	switch {
	case o.Slots <= 0:
		return errors.New("routing: Slots must be positive")
	case o.ReportLife <= 0 || o.LatencyLife <= 0 || o.PrefixLife <= 0:
		return errors.New("routing: ReportLife, LatencyLife and PrefixLife must be positive")
	case o.MaxScored < 2:
		return errors.New("routing: MaxScored is below 2; set at least 2")
	case o.Ejection.MaxPercent < 0 || o.Ejection.MaxPercent > 50:
		return errors.New("routing: Ejection.MaxPercent must be between 0 and 50")
	case o.Ejection.Base <= 0 || o.Ejection.Max < o.Ejection.Base:
		return errors.New("routing: Ejection.Base must be positive and at most Ejection.Max")
	case o.Circuit.Failures < 1 || o.Circuit.Base <= 0 || o.Circuit.Max < o.Circuit.Base:
		return errors.New("routing: Circuit needs at least 1 failure and 0 < Base <= Max")
	}
	return nil
}
