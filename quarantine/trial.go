package quarantine

import "time"

const (
	// firstTrialWait is the time from the quarantine of a part to its first trial.
	// Each trial that ends another runner multiplies it by trialWaitFactor, up to
	// maxTrialWait.
	firstTrialWait  = 8 * time.Second
	trialWaitFactor = 4
	maxTrialWait    = 10 * time.Minute
	// trialTurn is how long one entry VM may start a trial, before it is another
	// one's turn: an entry VM may get no request with the part. It covers the way
	// of the turn to the entry VM and that of a crash back.
	trialTurn = 5 * time.Second
)

// Trial allows one entry VM to send one more request with a quarantined part.
// Only that shows whether the part is to blame if every request failed.
type Trial struct {
	// VM is the address of the entry VM, empty if there is no trial.
	VM string `cbor:"1,keyasint,omitempty"`
	// Number differs for each trial of a part.
	Number uint32 `cbor:"2,keyasint,omitempty"`
}

// Quarantined is a quarantined part, as the leading control VM publishes it.
type Quarantined struct {
	Part  Part  `cbor:"1,keyasint"`
	Trial Trial `cbor:"2,keyasint"`
}

// confinement is the quarantine of one part.
type confinement struct {
	// since is when the part was quarantined or last ended another runner.
	since time.Time
	// lost holds the runners that were lost with the part.
	lost map[string]bool
	// wait is the time from since to the next trial.
	wait  time.Duration
	trial Trial
	// turnEnds is when the turn of the current trial ends, zero if there is none.
	turnEnds time.Time
}

func newConfinement(now time.Time) *confinement {
	return &confinement{since: now, lost: map[string]bool{}, wait: firstTrialWait}
}

// recordLosses records the runners that were lost with the part by now. Another
// one ends the trial.
func (c *confinement) recordLosses(now time.Time, runners []string) {
	more := false
	for _, runner := range runners {
		more = more || !c.lost[runner]
		c.lost[runner] = true
	}
	if !more {
		return
	}
	c.since = now
	if !c.turnEnds.IsZero() {
		c.wait = min(trialWaitFactor*c.wait, maxTrialWait)
		c.trial.VM, c.turnEnds = "", time.Time{}
	}
}

// updateTrial begins a trial, or the next turn of one, if that is due. It reports
// whether one has begun.
func (c *confinement) updateTrial(now time.Time, vms []string) bool {
	if len(vms) == 0 || now.Before(c.since.Add(c.wait)) || now.Before(c.turnEnds) {
		return false
	}
	number := c.trial.Number + 1
	c.trial = Trial{VM: vms[int(number)%len(vms)], Number: number}
	c.turnEnds = now.Add(trialTurn)
	return true
}
