package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Places computes the distance of zones from this VM.
type Places struct {
	Zone string
	// Regions maps each zone to its region.
	Regions map[string]string
}

// Distance classifies how far a zone is from this VM.
type Distance int

// Distances, from nearest to farthest.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// To returns the distance of a zone.
func (t *Places) To(zone string) Distance {
	switch {
	case zone == t.Zone:
		return SameZone
	case t.Regions[zone] != "" && t.Regions[zone] == t.Regions[t.Zone]:
		return SameRegion
	default:
		return OtherRegion
	}
}

// Costs are in prompt tokens: the number of tokens that a runner could process
// in the same time.
const (
	// runningCostTokens is the delay that each running request adds to the steps
	// before the first token.
	runningCostTokens = 60
	// waitingCostTokens is the work of one request that waits at the runner.
	waitingCostTokens = 2000
	// zoneCostTokens and regionCostTokens cover the round trip to another zone or
	// region and the charge for the traffic between them.
	zoneCostTokens   = 500
	regionCostTokens = 9000
	// affinityBonusTokens favors the runner to which all VMs send requests with
	// the same shared prompt, over one that is only equally idle.
	affinityBonusTokens = 6000
	// maxLoadAge is the age beyond which a reported load is ignored.
	maxLoadAge = 2 * time.Second
)

// PickEngine returns the runner with the least work ahead of the prompt's first
// token, or nil if list is empty. A reported load is already stale when it
// arrives, so this VM's own requests are counted as well. Runners in backoff
// are used only if no other is left.
func PickEngine(now time.Time, list []*Entry, p *Prompt, topology *Places) *Entry {
	preferred := preferredRunner(list, p.Affinity(), topology)
	shared := p.sharedTokens()
	return lowestCost(now, list, func(e *Entry) float64 {
		cached := e.Cached(now, p)
		if e == preferred {
			// Other VMs also send requests with this shared prompt here.
			cached = max(cached, shared)
		}
		cost := float64(e.Prefilling + max(p.Tokens-cached, 0))
		running, waiting := e.Active, 0
		if now.Sub(e.Load.At) < maxLoadAge {
			running, waiting = max(running, e.Load.Running), e.Load.Waiting
		}
		cost += runningCostTokens*float64(running) + waitingCostTokens*float64(waiting)
		cost += distanceCostTokens(topology.To(e.Zone))
		if e == preferred {
			cost -= affinityBonusTokens
		}
		return cost
	})
}

// minFetchTokens is the number of missing tokens from which fetching another
// runner's cached prefix is faster than processing it again.
const minFetchTokens = 1000

// FetchFrom returns a runner that probably caches shared parts of the prompt
// which chosen lacks: one to which this VM has sent them, or else the one that
// VMs of all zones prefer for them. It returns nil if fetching is not
// worthwhile.
func FetchFrom(now time.Time, list []*Entry, chosen *Entry, p *Prompt) *Entry {
	shared := p.sharedTokens()
	missing := shared - chosen.Cached(now, p)
	if missing < minFetchTokens {
		return nil
	}
	var best *Entry
	bestCached := shared - missing
	for _, e := range list {
		if c := min(e.Cached(now, p), shared); e != chosen && !e.Avoided(now) && c > bestCached {
			best, bestCached = e, c
		}
	}
	if best != nil {
		return best
	}
	fallback := preferredRunner(list, p.Affinity(), &Places{})
	if fallback == nil || fallback == chosen || fallback.Avoided(now) {
		return nil
	}
	return fallback
}

// Costs of a call without prompt affinity, in requests per slot.
const (
	zoneCostSlots   = 0.3
	regionCostSlots = 3
)

// PickPlain returns the runner with the fewest requests per slot, or nil if
// list is empty.
func PickPlain(now time.Time, list []*Entry, slots func(*Entry) int, topology *Places) *Entry {
	return lowestCost(now, list, func(e *Entry) float64 {
		running, waiting := e.Active, 0
		if now.Sub(e.Load.At) < maxLoadAge {
			running, waiting = max(running, e.Load.Running), e.Load.Waiting
		}
		cost := float64(running+2*waiting) / float64(max(slots(e), 1))
		switch topology.To(e.Zone) {
		case SameRegion:
			cost += zoneCostSlots
		case OtherRegion:
			cost += regionCostSlots
		}
		return cost
	})
}

func distanceCostTokens(d Distance) float64 {
	switch d {
	case SameRegion:
		return zoneCostTokens
	case OtherRegion:
		return regionCostTokens
	default:
		return 0
	}
}

// lowestCost returns the entry with the lowest cost among those not in backoff,
// or among all entries if every one is in backoff.
func lowestCost(now time.Time, list []*Entry, cost func(*Entry) float64) *Entry {
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

// preferredRunner returns the runner with the highest rendezvous weight for the
// hash in the nearest zone that has any. All VMs of a zone choose the same one.
func preferredRunner(list []*Entry, affinity uint64, topology *Places) *Entry {
	if affinity == 0 || len(list) == 0 {
		return nil
	}
	return slices.MaxFunc(list, func(a, b *Entry) int {
		if d := cmp.Compare(topology.To(b.Zone), topology.To(a.Zone)); d != 0 {
			return d
		}
		return cmp.Compare(Weight(affinity, a.ID), Weight(affinity, b.ID))
	})
}
