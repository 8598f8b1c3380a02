package standin

import (
	"fmt"
	"time"
)

// FaultKind names what a fault switch does.
type FaultKind string

// Kinds of faults. They stay in force until FaultReturn, or for Count calls.
const (
	// FaultSlow multiplies all working times by Factor.
	FaultSlow FaultKind = "slow"
	// FaultSilent stops all traffic on the connections open at that moment,
	// for good; new connections work.
	FaultSilent FaultKind = "silent"
	// FaultRefuse closes the listener; open connections work.
	FaultRefuse FaultKind = "refuse"
	// FaultCrash closes the listener and resets all connections.
	FaultCrash FaultKind = "crash"
	// FaultDie resets the connection in the middle of a response: in a stream
	// after AfterTokens tokens, otherwise in the middle of the body. The call
	// has executed.
	FaultDie FaultKind = "die"
	// FaultWrongLoad reports Running and Waiting instead of the real load.
	FaultWrongLoad FaultKind = "wrong_load"
	// FaultLate holds each finished response back for DelayMS milliseconds.
	FaultLate FaultKind = "late"
	// FaultSwap answers a call with the response of the call before it.
	FaultSwap FaultKind = "swap"
	// FaultDrain rejects new calls as a leaving upstream does.
	FaultDrain FaultKind = "drain"
	// FaultOverload rejects new calls as an overloaded upstream does.
	FaultOverload FaultKind = "overload"
	// FaultPause holds back the tokens of all streams from position AfterTokens
	// of the completion on. The streams go on after FaultReturn.
	FaultPause FaultKind = "pause"
	// FaultReturn ends all faults.
	FaultReturn FaultKind = "return"
)

// Fault is one use of a fault switch, the body of POST /fault.
type Fault struct {
	Kind FaultKind `json:"kind" yaml:"kind"`
	// Factor is for FaultSlow.
	Factor float64 `json:"factor,omitempty" yaml:"factor,omitempty"`
	// AfterTokens is for FaultDie and FaultPause.
	AfterTokens int `json:"after_tokens,omitempty" yaml:"after_tokens,omitempty"`
	// Running and Waiting are for FaultWrongLoad.
	Running int `json:"running,omitempty" yaml:"running,omitempty"`
	Waiting int `json:"waiting,omitempty" yaml:"waiting,omitempty"`
	// DelayMS is for FaultLate, in real milliseconds.
	DelayMS int `json:"delay_ms,omitempty" yaml:"delay_ms,omitempty"`
	// Count limits FaultDie, FaultLate, FaultDrain and FaultOverload to that
	// many calls; 0 means until FaultReturn.
	Count int `json:"count,omitempty" yaml:"count,omitempty"`
}

// Check says what is wrong with the fault.
func (f Fault) Check() error {
	switch f.Kind {
	case FaultSlow:
		if f.Factor <= 0 {
			return fmt.Errorf("fault slow: factor %v must be above 0", f.Factor)
		}
	case FaultLate:
		if f.DelayMS <= 0 {
			return fmt.Errorf("fault late: delay_ms %d must be above 0", f.DelayMS)
		}
	case FaultSilent, FaultRefuse, FaultCrash, FaultDie, FaultWrongLoad, FaultSwap, FaultDrain, FaultOverload, FaultPause, FaultReturn:
	default:
		return fmt.Errorf("fault kind %q is not known; see standin.FaultKind", f.Kind)
	}
	if f.Count < 0 || f.AfterTokens < 0 {
		return fmt.Errorf("fault %s: count and after_tokens must not be negative", f.Kind)
	}
	return nil
}

func (f Fault) delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}
