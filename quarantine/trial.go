package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// firstTrialWait is the time from the quarantine of a part to its first trial.
	// Each trial that has ended another runner multiplies it by trialWaitFactor, up to
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
	Part Part `cbor:"1,keyasint"`
	// Failed is the number of trials that have ended another runner.
	Failed uint32 `cbor:"2,keyasint,omitempty"`
	Trial  Trial  `cbor:"3,keyasint"`
}

// Known holds the quarantined parts that an entry VM knows. It is immutable.
type Known map[Part]Quarantined

// NewKnown returns the index of the given parts.
func NewKnown(list []Quarantined) Known {
	k := make(Known, len(list))
	for _, q := range list {
		k[q.Part] = q
	}
	return k
}

// hasAny reports whether any of the parts is quarantined.
func (k Known) hasAny(parts map[Part]bool) bool {
	for p := range k {
		if parts[p] {
			return true
		}
	}
	return false
}

// WithoutTrials returns the parts without their trials, sorted. This is what
// outlives the leader that decides about the trials.
func (k Known) WithoutTrials() []Quarantined {
	var list []Quarantined
	for _, p := range slices.Sorted(maps.Keys(k)) {
		list = append(list, Quarantined{Part: p, Failed: k[p].Failed})
	}
	return list
}

// trialWait returns the time to the next trial after some have failed.
func trialWait(failed uint32) time.Duration {
	wait := firstTrialWait
	for range failed {
		if wait *= trialWaitFactor; wait >= maxTrialWait {
			return maxTrialWait
		}
	}
	return wait
}

// partState is the quarantine of one part.
type partState struct {
	// since is when the part was quarantined or last ended another runner.
	since time.Time
	// lost holds the processes of runners that were lost with the part, as far as this
	// leader knows. It knows of all of them if it has begun the quarantine.
	lost     map[string]bool
	knowsAll bool
	// failed is the number of trials that have ended another runner.
	failed uint32
	trial  Trial
	// turnEnds is when the turn of the current trial ends, zero if there is none.
	turnEnds time.Time
	// endedBy is the process whose loss has ended the last trial, "" for none, and
	// sinceBefore what since was before.
	endedBy     string
	sinceBefore time.Time
}

func newPartState(now time.Time) *partState {
	return &partState{since: now, lost: map[string]bool{}}
}

// recordLosses records the runners that were lost with the part by now. Another
// one ends the trial.
func (s *partState) recordLosses(now time.Time, runners []string) {
	newest := ""
	for _, runner := range runners {
		if !s.lost[runner] {
			newest = runner
		}
		s.lost[runner] = true
	}
	if newest == "" {
		return
	}
	s.sinceBefore, s.since = s.since, now
	if !s.turnEnds.IsZero() {
		s.failed++
		s.trial.VM, s.turnEnds, s.endedBy = "", time.Time{}, newest
	}
}

// withdraw takes back the loss of processes that go on. It reports whether too few are
// left for a quarantine.
func (s *partState) withdraw(processes []string) (unfounded bool) {
	for _, process := range processes {
		delete(s.lost, process)
		if process == s.endedBy {
			// The next trial is due as if this one had not ended.
			s.failed--
			s.since, s.endedBy = s.sinceBefore, ""
		}
	}
	return s.knowsAll && len(s.lost) < minCrashes
}

// updateTrial begins a trial, or the next turn of one, if that is due. It reports
// whether one has begun.
func (s *partState) updateTrial(now time.Time, vms []string) bool {
	if len(vms) == 0 || now.Before(s.since.Add(trialWait(s.failed))) || now.Before(s.turnEnds) {
		return false
	}
	number := s.trial.Number + 1
	s.trial = Trial{VM: vms[int(number)%len(vms)], Number: number}
	s.turnEnds = now.Add(trialTurn)
	return true
}
