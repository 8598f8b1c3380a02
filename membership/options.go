package membership

import (
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// Default values of Options.
const (
	DefaultSlowStart    = 10 * time.Second
	DefaultTrustFloor   = 0.1
	DefaultRefusedHold  = 500 * time.Millisecond
	DefaultRefusedMax   = 8 * time.Second
	DefaultLeavingHold  = 60 * time.Second
	DefaultSignLifetime = 5 * time.Second
	DefaultSignAgeMax   = 30 * time.Second
)

// Options configures a Tracker.
type Options struct {
	// Self is the ID of this VM. Its own signs are ignored when other VMs return
	// them.
	Self ids.VMID
	// SlowStart is the time in which the weight of a new or returning upstream
	// grows from TrustFloor to 1.
	SlowStart  time.Duration
	TrustFloor float64
	// RefusedHold is the backoff during which an upstream gets no work after the
	// first refused connection. It doubles with each further one, up to
	// RefusedMax.
	RefusedHold time.Duration
	RefusedMax  time.Duration
	// LeavingHold is how long an upstream that was observed leaving gets no work
	// while the list still shows it as live. It must exceed the lag of the list
	// plus the longest drain.
	LeavingHold time.Duration
	// SignLifetime is how long an observation of this VM is sent to other VMs.
	SignLifetime time.Duration
	// SignAgeMax is the maximum age of a sign; older ones are ignored.
	SignAgeMax time.Duration
}

// DefaultOptions returns the default options for the VM self.
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

// Check returns an error that names the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.SlowStart < 0:
		return errors.New("membership: SlowStart is negative; set 0 or more")
	case o.TrustFloor <= 0 || o.TrustFloor > 1:
		return errors.New("membership: TrustFloor must be greater than 0 and at most 1")
	case o.RefusedHold <= 0 || o.RefusedMax < o.RefusedHold:
		return errors.New("membership: RefusedHold must be positive and at most RefusedMax")
	case o.LeavingHold <= 0 || o.SignLifetime <= 0 || o.SignAgeMax <= 0:
		return errors.New("membership: LeavingHold, SignLifetime and SignAgeMax must be positive")
	}
	return nil
}
