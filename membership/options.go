package membership

import (
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// Default values of Options.
const (
	DefaultSlowStart           = 10 * time.Second
	DefaultMinWeight           = 0.1
	DefaultRefusedBackoff      = 500 * time.Millisecond
	DefaultMaxRefusedBackoff   = 8 * time.Second
	DefaultLeavingHold         = 60 * time.Second
	DefaultObservationLifetime = 5 * time.Second
	DefaultMaxObservationAge   = 30 * time.Second
)

// Options configures a Tracker.
type Options struct {
	// Self is the ID of this VM. Its own observations are ignored when other VMs
	// return them.
	Self ids.VMID
	// SlowStart is the time in which the weight of a new or returning upstream
	// grows from MinWeight to 1.
	SlowStart time.Duration
	// MinWeight is the weight at the start of slow start, greater than 0 and at
	// most 1.
	MinWeight float64
	// RefusedBackoff is the backoff during which an upstream gets no work after the
	// first refused connection. It doubles with each further one, up to
	// MaxRefusedBackoff.
	RefusedBackoff    time.Duration
	MaxRefusedBackoff time.Duration
	// LeavingHold is how long an upstream that was observed leaving gets no work
	// while the list still shows it as live. It must exceed the lag of the list
	// plus the longest drain.
	LeavingHold time.Duration
	// ObservationLifetime is how long an observation of this VM is sent to other
	// VMs.
	ObservationLifetime time.Duration
	// MaxObservationAge is the maximum age of an observation of another VM; older
	// ones are ignored.
	MaxObservationAge time.Duration
}

// DefaultOptions returns the default options for the VM self.
func DefaultOptions(self ids.VMID) Options {
	return Options{
		Self:                self,
		SlowStart:           DefaultSlowStart,
		MinWeight:           DefaultMinWeight,
		RefusedBackoff:      DefaultRefusedBackoff,
		MaxRefusedBackoff:   DefaultMaxRefusedBackoff,
		LeavingHold:         DefaultLeavingHold,
		ObservationLifetime: DefaultObservationLifetime,
		MaxObservationAge:   DefaultMaxObservationAge,
	}
}

// Check returns an error that names the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.SlowStart < 0:
		return errors.New("membership: SlowStart is negative; set 0 or more")
	case o.MinWeight <= 0 || o.MinWeight > 1:
		return errors.New("membership: MinWeight must be greater than 0 and at most 1")
	case o.RefusedBackoff <= 0 || o.MaxRefusedBackoff < o.RefusedBackoff:
		return errors.New("membership: RefusedBackoff must be positive and at most MaxRefusedBackoff")
	case o.LeavingHold <= 0 || o.ObservationLifetime <= 0 || o.MaxObservationAge <= 0:
		return errors.New("membership: LeavingHold, ObservationLifetime and MaxObservationAge must be positive")
	}
	return nil
}
