package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of runners that must be lost with a part before it
	// is quarantined. A prompt may be in flight at one or two runners that end for
	// other reasons.
	minCrashes = 3
	// minDoubtfulCrashes is that number if some of the losses are still in doubt. The
	// list takes a while to decide about runners that are back soon; engines are not to
	// be ended one after the other meanwhile.
	minDoubtfulCrashes = 5
	// quarantineTime is how long a part stays quarantined after the last loss of a
	// runner with it. A part that is still in use is tried again before that.
	quarantineTime = 30 * time.Minute
	// adoptionTime is how long a new detector adopts the parts that are quarantined at
	// entry VMs: all control VMs may have been restarted.
	adoptionTime = 5 * time.Second
)

// Change is the beginning or end of the quarantine of a part, or a trial of it.
type Change struct {
	Part        Part
	Quarantined bool
	// Crashes is the number of runners lost with the part, 0 at the end.
	Crashes int
	// Trial is the trial that begins.
	Trial Trial
}

// Detector decides which parts are quarantined. It is not safe for concurrent use.
type Detector struct {
	parts map[Part]*partState
	// adoptUntil is the end of the adoption time.
	adoptUntil time.Time
}

// NewDetector returns a detector that continues the given quarantine.
func NewDetector(now time.Time, quarantined []Quarantined) *Detector {
	d := &Detector{parts: map[Part]*partState{}, adoptUntil: now.Add(adoptionTime)}
	for _, q := range quarantined {
		d.resume(now, &q)
	}
	return d
}

// resume continues the quarantine of a part.
func (d *Detector) resume(now time.Time, q *Quarantined) {
	state := newPartState(now)
	state.failed, state.trial.Number = q.Failed, q.Trial.Number
	d.parts[q.Part] = state
}

// Quarantined returns the quarantined parts, sorted.
func (d *Detector) Quarantined() []Quarantined {
	var list []Quarantined
	for _, p := range d.sortedParts() {
		list = append(list, Quarantined{Part: p, Failed: d.parts[p].failed, Trial: d.parts[p].trial})
	}
	return list
}

func (d *Detector) sortedParts() []Part { return slices.Sorted(maps.Keys(d.parts)) }

// Update updates the quarantine with the current reports of all entry VMs and
// returns what has changed. vms are the addresses of the entry VMs that may try a
// quarantined part, in a stable order.
func (d *Detector) Update(now time.Time, reports []*Report, vms []string) []Change {
	answered := answeredParts(reports)
	if now.Before(d.adoptUntil) {
		d.adopt(now, reports)
	}
	changes := d.free(now, answered)
	crashes, all := joinCrashes(reports, answered, false), joinCrashes(reports, answered, true)
	for p, state := range d.parts {
		state.recordLosses(now, runnersLostWith(crashes, p))
	}
	changes = append(changes, d.withdraw(reports, all)...)
	changes = append(changes, d.quarantine(now, crashes, reports, minCrashes)...)
	changes = append(changes, d.quarantine(now, all, reports, minDoubtfulCrashes)...)
	return append(changes, d.updateTrials(now, vms)...)
}

// adopt continues the quarantines that entry VMs know.
func (d *Detector) adopt(now time.Time, reports []*Report) {
	for _, r := range reports {
		for _, q := range r.Quarantined {
			if d.parts[q.Part] == nil {
				d.resume(now, &q)
			}
		}
	}
}

// free ends the quarantine of parts with an answer and of those whose time is over.
func (d *Detector) free(now time.Time, answered Set) []Change {
	var changes []Change
	for _, p := range d.sortedParts() {
		if answered[p] || now.Sub(d.parts[p].since) > quarantineTime {
			delete(d.parts, p)
			changes = append(changes, Change{Part: p})
		}
	}
	return changes
}

// withdraw takes back the loss of processes that go on after all, and ends the quarantine
// of parts that was founded on them.
func (d *Detector) withdraw(reports []*Report, crashes map[string]Set) []Change {
	var changes []Change
	for _, p := range d.sortedParts() {
		var withdrawn []string
		for _, r := range reports {
			for _, process := range r.Withdrawn {
				// Another VM, or a later request, may have lost it all the same.
				if !crashes[process][p] {
					withdrawn = append(withdrawn, process)
				}
			}
		}
		if d.parts[p].withdraw(withdrawn) {
			delete(d.parts, p)
			changes = append(changes, Change{Part: p})
		}
	}
	return changes
}

// quarantine quarantines the parts with the most crashes, as long as at least least of
// them are left that no quarantined part explains. The part with the most comes first:
// the others may only have been in flight beside it. Of several with the most, those come
// first that the fewest requests have had: if they are not to blame, the fewest callers
// are refused.
func (d *Detector) quarantine(now time.Time, crashes map[string]Set, reports []*Report, least int) []Change {
	var changes []Change
	for p := range d.parts {
		removeExplained(crashes, p)
	}
	removeRare(crashes, least)
	for {
		worst, count := mostFrequent(crashes)
		if count < least {
			return changes
		}
		if len(worst) > 1 {
			worst = leastShared(worst, joinSharing(reports))
		}
		for _, p := range worst {
			d.parts[p] = newPartState(now)
			d.parts[p].knowsAll = true
			for _, process := range runnersLostWith(crashes, p) {
				d.parts[p].lost[process] = true
			}
			changes = append(changes, Change{Part: p, Quarantined: true, Crashes: count})
		}
		for _, p := range worst {
			removeExplained(crashes, p)
		}
	}
}

// updateTrials begins the trials that are due.
func (d *Detector) updateTrials(now time.Time, vms []string) []Change {
	var changes []Change
	for _, p := range d.sortedParts() {
		if state := d.parts[p]; state.updateTrial(now, vms) {
			changes = append(changes, Change{Part: p, Quarantined: true, Crashes: len(state.lost), Trial: state.trial})
		}
	}
	return changes
}

// answeredParts returns the parts with which an entry VM has had an answer.
func answeredParts(reports []*Report) Set {
	answered := Set{}
	for _, r := range reports {
		for _, p := range r.Answered {
			answered[p] = true
		}
	}
	return answered
}

// joinCrashes returns the parts that were in flight at each lost runner, over all
// entry VMs and without those with an answer. Doubtful crashes are left out unless they
// are asked for.
func joinCrashes(reports []*Report, answered Set, doubtful bool) map[string]Set {
	crashes := map[string]Set{}
	for _, r := range reports {
		for _, c := range r.Crashes {
			if c.Doubtful && !doubtful {
				continue
			}
			if crashes[c.Runner] == nil {
				crashes[c.Runner] = Set{}
			}
			for _, p := range c.Parts {
				if !answered[p] {
					crashes[c.Runner][p] = true
				}
			}
		}
	}
	return crashes
}

// runnersLostWith returns the runners that were lost with a part.
func runnersLostWith(crashes map[string]Set, p Part) []string {
	var runners []string
	for runner, parts := range crashes {
		if parts[p] {
			runners = append(runners, runner)
		}
	}
	return runners
}

// removeExplained removes the crashes that a quarantined part explains.
func removeExplained(crashes map[string]Set, p Part) {
	maps.DeleteFunc(crashes, func(_ string, parts Set) bool { return parts[p] })
}

// removeRare removes the parts that were lost with fewer than least runners.
func removeRare(crashes map[string]Set, least int) {
	counts := countRunners(crashes)
	for _, parts := range crashes {
		maps.DeleteFunc(parts, func(p Part, _ bool) bool { return counts[p] < least })
	}
}

// countRunners returns the number of runners that were lost with each part.
func countRunners(crashes map[string]Set) map[Part]int {
	counts := map[Part]int{}
	for _, parts := range crashes {
		for p := range parts {
			counts[p]++
		}
	}
	return counts
}

// mostFrequent returns the part with the most crashes and their number. There
// are several if nothing tells them apart.
func mostFrequent(crashes map[string]Set) (worst []Part, count int) {
	for p, n := range countRunners(crashes) {
		switch {
		case n > count:
			worst, count = []Part{p}, n
		case n == count:
			worst = append(worst, p)
		}
	}
	slices.Sort(worst)
	return worst, count
}
