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
	// quarantineTime is how long a part stays quarantined. Then it is tried again,
	// at the price of up to minCrashes runners.
	quarantineTime = 10 * time.Minute
	// adoptionTime is how long a new detector adopts the parts that are quarantined at
	// entry VMs: all control VMs may have been restarted.
	adoptionTime = 5 * time.Second
)

// Change is the beginning or end of the quarantine of a part.
type Change struct {
	Part        Part
	Quarantined bool
	// Crashes is the number of runners lost with the part, 0 at the end.
	Crashes int
}

// Detector decides which parts are quarantined. It is not safe for concurrent use.
type Detector struct {
	// since holds when each quarantined part was quarantined.
	since map[Part]time.Time
	// adoptUntil is the end of the adoption time.
	adoptUntil time.Time
}

// NewDetector returns a detector that continues the quarantine of the given parts.
func NewDetector(now time.Time, quarantined []Part) *Detector {
	d := &Detector{since: map[Part]time.Time{}, adoptUntil: now.Add(adoptionTime)}
	for _, p := range quarantined {
		d.since[p] = now
	}
	return d
}

// Quarantined returns the quarantined parts, sorted.
func (d *Detector) Quarantined() []Part { return slices.Sorted(maps.Keys(d.since)) }

// Update updates the quarantine with the current reports of all entry VMs and
// returns what has changed.
func (d *Detector) Update(now time.Time, reports []*Report) []Change {
	answered := answeredParts(reports)
	if now.Before(d.adoptUntil) {
		d.adopt(now, reports)
	}
	var changes []Change
	for _, p := range d.Quarantined() {
		if answered[p] || now.Sub(d.since[p]) > quarantineTime {
			delete(d.since, p)
			changes = append(changes, Change{Part: p})
		}
	}
	crashes := joinCrashes(reports, answered)
	for _, p := range d.Quarantined() {
		removeExplained(crashes, p)
	}
	// The part with the most crashes comes first: the others may only have been in
	// flight beside it.
	for {
		worst, count := mostFrequent(crashes)
		if count < minCrashes {
			return changes
		}
		for _, p := range worst {
			d.since[p] = now
			changes = append(changes, Change{Part: p, Quarantined: true, Crashes: count})
		}
		for _, p := range worst {
			removeExplained(crashes, p)
		}
	}
}

// adopt continues the quarantines that entry VMs know.
func (d *Detector) adopt(now time.Time, reports []*Report) {
	for _, r := range reports {
		for _, p := range r.Quarantined {
			if _, known := d.since[p]; !known {
				d.since[p] = now
			}
		}
	}
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
// entry VMs and without those with an answer.
func joinCrashes(reports []*Report, answered Set) map[string]Set {
	crashes := map[string]Set{}
	for _, r := range reports {
		for _, c := range r.Crashes {
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

// removeExplained removes the crashes that a quarantined part explains.
func removeExplained(crashes map[string]Set, p Part) {
	maps.DeleteFunc(crashes, func(_ string, parts Set) bool { return parts[p] })
}

// mostFrequent returns the part with the most crashes and their number. There
// are several if nothing tells them apart.
func mostFrequent(crashes map[string]Set) (worst []Part, count int) {
	counts := map[Part]int{}
	for _, parts := range crashes {
		for p := range parts {
			counts[p]++
		}
	}
	for p, n := range counts {
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
