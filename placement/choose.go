package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Places ranks zones by their distance from this VM.
type Places struct {
	Zone string
	// Regions gives the region of each zone.
	Regions map[string]string
}

// Distance of a zone.
type Distance int

// Distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// To gives the distance of a zone.
func (p *Places) To(zone string) Distance {
	switch {
	case zone == p.Zone:
		return SameZone
	case p.Regions[zone] != "" && p.Regions[zone] == p.Regions[p.Zone]:
		return SameRegion
	default:
		return OtherRegion
	}
}

// Cost in prompt tokens: what a runner reads in the time that a thing takes.
const (
	// runningCost is what each running request adds to the time of the steps
	// before a first token.
	runningCost = 60
	// waitingCost is the work of a request that waits at the runner.
	waitingCost = 2000
	// zoneCost and regionCost stand for the way, there and back, and for the
	// bytes between zones and regions, which are paid for.
	zoneCost   = 500
	regionCost = 9000
	// affinityGain prefers the runner to which all VMs send the requests that
	// share a prompt, before one that merely is as free.
	affinityGain = 6000
	// loadFresh is how long a told load counts.
	loadFresh = 2 * time.Second
)

// PickEngine gives the runner with the least work ahead of the prompt's first
// token, nil if there is none. Listed load is stale when it arrives, so own
// requests count beside it. Runners to avoid are used only if no other is left.
func PickEngine(now time.Time, list []*Entry, p *Prompt, places *Places) *Entry {
	home := preferred(list, p.Affinity(), places)
	shared := p.shared()
	return least(now, list, func(e *Entry) float64 {
		cached := e.Cached(now, p)
		if e == home {
			// Other VMs send these requests there too.
			cached = max(cached, shared)
		}
		cost := float64(e.Prefilling + max(p.Tokens-cached, 0))
		running, waiting := e.Active, 0
		if now.Sub(e.Load.At) < loadFresh {
			running, waiting = max(running, e.Load.Running), e.Load.Waiting
		}
		cost += runningCost*float64(running) + waitingCost*float64(waiting)
		cost += wayCost(places.To(e.Zone))
		if e == home {
			cost -= affinityGain
		}
		return cost
	})
}

// leastFetch is the number of tokens from which it is worth fetching what
// another runner keeps of a prompt.
const leastFetch = 1000

// FetchFrom gives the runner that probably keeps the shared parts of a prompt
// which chosen does not, nil if there is none of use: the one to which this VM
// has sent them, or the one that all VMs of all zones prefer for them.
func FetchFrom(now time.Time, list []*Entry, chosen *Entry, p *Prompt) *Entry {
	shared := p.shared()
	missing := shared - chosen.Cached(now, p)
	if missing < leastFetch {
		return nil
	}
	var best *Entry
	kept := shared - missing
	for _, e := range list {
		if c := min(e.Cached(now, p), shared); e != chosen && !e.Avoided(now) && c > kept {
			best, kept = e, c
		}
	}
	if best != nil {
		return best
	}
	central := preferred(list, p.Affinity(), &Places{})
	if central == nil || central == chosen || central.Avoided(now) {
		return nil
	}
	return central
}

// Costs of a plain call, in slots.
const (
	plainZoneCost   = 0.3
	plainRegionCost = 3
)

// PickPlain gives the runner with the fewest requests per slot.
func PickPlain(now time.Time, list []*Entry, slots func(*Entry) int, places *Places) *Entry {
	return least(now, list, func(e *Entry) float64 {
		running, waiting := e.Active, 0
		if now.Sub(e.Load.At) < loadFresh {
			running, waiting = max(running, e.Load.Running), e.Load.Waiting
		}
		cost := float64(running+2*waiting) / float64(max(slots(e), 1))
		switch places.To(e.Zone) {
		case SameRegion:
			cost += plainZoneCost
		case OtherRegion:
			cost += plainRegionCost
		}
		return cost
	})
}

func wayCost(d Distance) float64 {
	switch d {
	case SameRegion:
		return zoneCost
	case OtherRegion:
		return regionCost
	default:
		return 0
	}
}

// least gives the entry with the least cost among those not to avoid, or among
// all if each is.
func least(now time.Time, list []*Entry, cost func(*Entry) float64) *Entry {
	var best *Entry
	bestCost := math.Inf(1)
	for _, avoided := range []bool{false, true} {
		for _, e := range list {
			if e.Avoided(now) != avoided {
				continue
			}
			if c := cost(e); c < bestCost {
				best, bestCost = e, c
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// preferred gives the nearest runner with the highest weight for a hash, the
// same at every VM of a zone.
func preferred(list []*Entry, affinity uint64, places *Places) *Entry {
	if affinity == 0 || len(list) == 0 {
		return nil
	}
	return slices.MaxFunc(list, func(a, b *Entry) int {
		if d := cmp.Compare(places.To(b.Zone), places.To(a.Zone)); d != 0 {
			return d
		}
		return cmp.Compare(Weight(affinity, a.ID), Weight(affinity, b.ID))
	})
}
