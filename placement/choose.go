package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Topology computes the distance of zones from this VM.
type Topology struct {
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

// DistanceTo returns the distance of a zone.
func (t *Topology) DistanceTo(zone string) Distance {
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
	// warmUpCostTokens keeps a runner that warms up, and is idle for that reason, from
	// getting all new requests.
	warmUpCostTokens = 2000
	// maxLoadAge is the age beyond which a reported load is ignored.
	maxLoadAge = 2 * time.Second
)

// PickEngine returns the runner with the least work ahead of the prompt's first
// token, or nil if list is empty. A reported load is already stale when it
// arrives, so this VM's own requests are counted as well. Runners in backoff
// are used only if no other is left.
func PickEngine(now time.Time, list []*RunnerState, p *Prompt, topology *Topology) *RunnerState {
	preferred := preferredRunner(list, p.Affinity(), topology)
	shared := p.sharedTokens()
	return lowestCost(now, list, func(runner *RunnerState) float64 {
		cached := runner.CachedTokens(now, p)
		if runner == preferred {
			// Other VMs also send requests with this shared prompt here.
			cached = max(cached, shared)
		}
		cost := float64(runner.PendingPromptTokens + max(p.Tokens-cached, 0))
		running, waiting := runner.ActiveRequests, 0
		if now.Sub(runner.Load.At) < maxLoadAge {
			running, waiting = max(running, runner.Load.Running), runner.Load.Waiting
		}
		cost += runningCostTokens*float64(running) + waitingCostTokens*float64(waiting)
		cost += distanceCostTokens(topology.DistanceTo(runner.Zone))
		if runner.WarmingUp {
			cost += warmUpCostTokens
		}
		if runner == preferred {
			cost -= affinityBonusTokens
		}
		return cost
	})
}

// minFetchTokens is the number of missing tokens from which fetching another
// runner's cached prefix is faster than processing it again.
const minFetchTokens = 1000

// PickCacheSource returns a runner that probably caches shared parts of the
// prompt which chosen lacks: one to which this VM has sent them, or else the
// one that VMs of all zones prefer for them. It returns nil if fetching is not
// worthwhile.
func PickCacheSource(now time.Time, list []*RunnerState, chosen *RunnerState, p *Prompt) *RunnerState {
	shared := p.sharedTokens()
	missing := shared - chosen.CachedTokens(now, p)
	if missing < minFetchTokens {
		return nil
	}
	var best *RunnerState
	bestCached := shared - missing
	for _, runner := range list {
		if c := min(runner.CachedTokens(now, p), shared); runner != chosen && !runner.InBackoff(now) && c > bestCached {
			best, bestCached = runner, c
		}
	}
	if best != nil {
		return best
	}
	fallback := preferredRunner(list, p.Affinity(), &Topology{})
	if fallback == nil || fallback == chosen || fallback.InBackoff(now) {
		return nil
	}
	return fallback
}

// Costs of a call without prompt affinity, in requests per slot.
const (
	zoneCostSlots   = 0.3
	regionCostSlots = 3
	warmUpCostSlots = 1
)

// PickLeastLoaded returns the runner with the fewest requests per slot, or nil
// if list is empty.
func PickLeastLoaded(now time.Time, list []*RunnerState, slots func(*RunnerState) int, topology *Topology) *RunnerState {
	return lowestCost(now, list, func(runner *RunnerState) float64 {
		running, waiting := runner.ActiveRequests, 0
		if now.Sub(runner.Load.At) < maxLoadAge {
			running, waiting = max(running, runner.Load.Running), runner.Load.Waiting
		}
		cost := float64(running+2*waiting) / float64(max(slots(runner), 1))
		switch topology.DistanceTo(runner.Zone) {
		case SameRegion:
			cost += zoneCostSlots
		case OtherRegion:
			cost += regionCostSlots
		}
		if runner.WarmingUp {
			cost += warmUpCostSlots
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

// lowestCost returns the runner with the lowest cost among those not in backoff,
// or among all runners if every one is in backoff.
func lowestCost(now time.Time, list []*RunnerState, cost func(*RunnerState) float64) *RunnerState {
	var best *RunnerState
	bestCost := math.Inf(1)
	for _, inBackoff := range []bool{false, true} {
		for _, runner := range list {
			if runner.InBackoff(now) != inBackoff {
				continue
			}
			if c := cost(runner); c < bestCost {
				best, bestCost = runner, c
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// preferredRunner returns the runner with the highest rendezvous weight for
// affinity among those nearest to this VM, or nil if affinity is 0 or list is
// empty. All VMs of a zone choose the same one.
func preferredRunner(list []*RunnerState, affinity uint64, topology *Topology) *RunnerState {
	if affinity == 0 || len(list) == 0 {
		return nil
	}
	return slices.MaxFunc(list, func(a, b *RunnerState) int {
		if d := cmp.Compare(topology.DistanceTo(b.Zone), topology.DistanceTo(a.Zone)); d != 0 {
			return d
		}
		return cmp.Compare(RendezvousWeight(affinity, a.ID), RendezvousWeight(affinity, b.ID))
	})
}
