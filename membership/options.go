package membership

import (
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// Defaults of Options.
const (
	DefaultSlowStart    = 10 * time.Second
	DefaultTrustFloor   = 0.1
	DefaultRefusedHold  = 500 * time.Millisecond
	DefaultRefusedMax   = 8 * time.Second
	DefaultLeavingHold  = 60 * time.Second
	DefaultSignLifetime = 5 * time.Second
	DefaultSignAgeMax   = 30 * time.Second
)

// Options set a Tracker's times and bounds.
type Options struct {
	// Self is this VM; its own signs are ignored when they come back.
	Self ids.VMID
	// SlowStart is the time in which the trust in a new or returning upstream
	// grows from TrustFloor to 1.
	SlowStart  time.Duration
	TrustFloor float64
	// RefusedHold is how long an upstream gets no work after the first refused
	// connection. It doubles with each further one up to RefusedMax.
	RefusedHold time.Duration
	RefusedMax  time.Duration
	// LeavingHold is how long an upstream that was seen leaving gets no work
	// while the list keeps showing it as live. It must exceed the list's lag
	// plus the longest drain.
	LeavingHold time.Duration
	// SignLifetime is how long an own observation is sent to other VMs.
	SignLifetime time.Duration
	// SignAgeMax bounds the age of a sign that is still applied.
	SignAgeMax time.Duration
}

// DefaultOptions gives the defaults.
func DefaultOptions(self ids.VMID) Options {
	return Options{
		Self:         self,
		SlowStart:    DefaultSlowStart,
		TrustFloor:   DefaultTrustFloor,
		RefusedHold:  DefaultRefusedHold,
		RefusedMax:   DefaultRefusedMax,
		LeavingHold:  DefaultLeavingHold,
		SignLifetime: DefaultSignLifetime,
		SignAgeMax:   DefaultSignAgeMax,
	}
}

// Check reports the first option that is out of bounds.
func (o Options) Check() error {
	switch {
	case o.SlowStart < 0:
		return errors.New("membership: SlowStart is negative; set 0 or more")
	case o.TrustFloor <= 0 || o.TrustFloor > 1:
		return errors.New("membership: TrustFloor must be above 0 and at most 1")
	case o.RefusedHold <= 0 || o.RefusedMax < o.RefusedHold:
		return errors.New("membership: RefusedHold must be positive and at most RefusedMax")
	case o.LeavingHold <= 0 || o.SignLifetime <= 0 || o.SignAgeMax <= 0:
		return errors.New("membership: LeavingHold, SignLifetime and SignAgeMax must be positive")
	}
	return nil
}
