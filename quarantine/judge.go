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
	// adoptionTime is how long a new judge adopts the parts that are quarantined at
	// entry VMs: all control VMs may have been restarted.
	adoptionTime = 5 * time.Second
)

// Verdict is a change of the quarantine.
type Verdict struct {
	Part        Part
	Quarantined bool
	// Crashes is the number of runners lost with the part.
	Crashes int
}

// Judge decides which parts are quarantined. It is not safe for concurrent use.
type Judge struct {
	// since holds when each quarantined part was quarantined.
	since map[Part]time.Time
	// adoptUntil is the end of the adoption time.
	adoptUntil time.Time
}

// NewJudge returns a judge that continues the quarantine of the given parts.
func NewJudge(now time.Time, quarantined []Part) *Judge {
	j := &Judge{since: map[Part]time.Time{}, adoptUntil: now.Add(adoptionTime)}
	for _, p := range quarantined {
		j.since[p] = now
	}
	return j
}

// Quarantined returns the quarantined parts, sorted.
func (j *Judge) Quarantined() []Part { return slices.Sorted(maps.Keys(j.since)) }

// Decide updates the quarantine with the current reports of all entry VMs and
// returns what has changed.
func (j *Judge) Decide(now time.Time, reports []*Report) []Verdict {
	sound := soundParts(reports)
	if now.Before(j.adoptUntil) {
		j.adopt(now, reports)
	}
	var verdicts []Verdict
	for _, p := range j.Quarantined() {
		if sound[p] || now.Sub(j.since[p]) > quarantineTime {
			delete(j.since, p)
			verdicts = append(verdicts, Verdict{Part: p})
		}
	}
	crashes := joinCrashes(reports, sound)
	for _, p := range j.Quarantined() {
		removeExplained(crashes, p)
	}
	for {
		worst, count := mostFrequent(crashes)
		if count < minCrashes {
			return verdicts
		}
		for _, p := range worst {
			j.since[p] = now
			verdicts = append(verdicts, Verdict{Part: p, Quarantined: true, Crashes: count})
		}
		for _, p := range worst {
			removeExplained(crashes, p)
		}
	}
}

// adopt continues the quarantines that entry VMs know.
func (j *Judge) adopt(now time.Time, reports []*Report) {
	for _, r := range reports {
		for _, p := range r.Quarantined {
			if _, known := j.since[p]; !known {
				j.since[p] = now
			}
		}
	}
}

func soundParts(reports []*Report) Set {
	sound := Set{}
	for _, r := range reports {
		for _, p := range r.Sound {
			sound[p] = true
		}
	}
	return sound
}

// joinCrashes returns the parts that were in flight at each lost runner, over all
// entry VMs and without those that are sound.
func joinCrashes(reports []*Report, sound Set) map[string]Set {
	crashes := map[string]Set{}
	for _, r := range reports {
		for _, c := range r.Crashes {
			if crashes[c.Runner] == nil {
				crashes[c.Runner] = Set{}
			}
			for _, p := range c.Parts {
				if !sound[p] {
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
