package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// ApplyList applies a list from GET /members. Additions and explicit leaving
// states take effect immediately; removals from a pool that the list shrinks too
// far are deferred until applyConfirmed accepts them. A list whose Seq is not
// above that of the last one applied is ignored.
func (t *Tracker) ApplyList(list List, now time.Time) ListResult {
	if t.hasList && list.Seq <= t.listSeq {
		t.counts.OutdatedLists++
		return ListOutdated
	}
	if !t.hasList && len(list.Members) == 0 {
		// An empty first list contains nothing usable and does not count as
		// applied.
		return ListSuspect
	}
	t.listSeq = list.Seq
	firstList := !t.hasList
	t.hasList = true
	suspect := t.suspectPools(list)
	t.addListed(list, now, firstList)
	states := make(map[string]ListState, len(list.Members))
	for _, m := range list.Members {
		states[m.Address] = m.State
	}
	for _, pool := range t.poolNames() {
		if suspect[pool] {
			t.deferRemoval(pool, states, now)
			continue
		}
		delete(t.pendingRemovals, pool)
		t.removeMissing(pool, states, now)
	}
	t.applyConfirmed(now)
	if len(t.pendingRemovals) > 0 {
		return ListSuspect
	}
	return ListApplied
}

func (t *Tracker) poolNames() []string { return slices.Sorted(maps.Keys(t.poolAddresses)) }

// addListed adds the new upstreams of the list and restores those that returned.
func (t *Tracker) addListed(list List, now time.Time, firstList bool) {
	for _, m := range list.Members {
		e := t.entries[m.Address]
		if e != nil && e.member != m && withoutState(e.member) != withoutState(m) {
			// The address was reassigned to another VM, pool or region.
			t.removeEntry(e)
			e = nil
		}
		switch {
		case m.State != ListLive:
		case e == nil:
			t.addEntry(m, now, firstList)
		default:
			t.restoreListed(e, now)
		}
	}
}

// withoutState returns the member without its state, for comparison.
func withoutState(m Member) Member {
	m.State = ""
	return m
}

func (t *Tracker) addEntry(m Member, now time.Time, firstList bool) {
	e := &entry{member: m}
	if !firstList {
		e.slowStartFrom, e.returnedAt = now, now
	}
	t.entries[m.Address] = e
	t.poolAddresses[m.Pool] = append(t.poolAddresses[m.Pool], m.Address)
	t.dirtyPools[m.Pool] = true
	t.markDirty(e)
}

// restoreListed handles a known upstream that the list shows as live. An upstream
// that was observed leaving becomes live again if an earlier list has shown it as
// leaving, or after LeavingHold. Until then the list may merely lag.
func (t *Tracker) restoreListed(e *entry, now time.Time) {
	if e.unlisted {
		e.unlisted = false
		t.markDirty(e)
	}
	if !e.leaving() {
		return
	}
	if !e.listedLeaving && now.Sub(e.leavingSince) < t.opts.LeavingHold {
		return
	}
	e.leavingSince = time.Time{}
	e.listedLeaving = false
	e.ownObservation = ""
	e.consecutiveRefusals = 0
	e.refusedUntil = time.Time{}
	e.slowStartFrom, e.returnedAt = now, now
	t.markDirty(e)
}

// removeMissing removes the upstreams of a pool that an accepted list lacks, and
// marks those that it shows as leaving.
func (t *Tracker) removeMissing(pool string, states map[string]ListState, now time.Time) {
	for _, address := range slices.Clone(t.poolAddresses[pool]) {
		e := t.entries[address]
		switch states[address] {
		case ListLive:
		case ListLeaving:
			e.listedLeaving = true
			t.markLeaving(e, now)
		default:
			t.removeEntry(e)
		}
	}
}

func (t *Tracker) removeEntry(e *entry) {
	m := e.member
	delete(t.entries, m.Address)
	t.poolAddresses[m.Pool] = slices.DeleteFunc(t.poolAddresses[m.Pool], func(a string) bool { return a == m.Address })
	t.dirtyPools[m.Pool] = true
	t.markDirty(e)
}

// View returns the current view. It copies only the pools that changed and
// allocates new records only for the upstreams that changed.
func (t *Tracker) View() *View {
	if len(t.dirtyEntries) == 0 && len(t.dirtyPools) == 0 {
		return t.view
	}
	for name := range t.dirtyPools {
		t.rebuildPool(name)
	}
	t.updatePools()
	clear(t.dirtyEntries)
	clear(t.dirtyPools)
	t.view = &View{pools: maps.Clone(t.pools), version: t.view.version + 1}
	return t.view
}

// rebuildPool builds a pool's view anew after its set of addresses changed.
func (t *Tracker) rebuildPool(name string) {
	addresses := t.poolAddresses[name]
	if len(addresses) == 0 {
		delete(t.pools, name)
		delete(t.poolAddresses, name)
		return
	}
	slices.Sort(addresses)
	p := &poolView{upstreams: make([]*Upstream, len(addresses)), index: make(map[string]int32, len(addresses))}
	for i, a := range addresses {
		p.index[a] = int32(i)
		p.upstreams[i] = t.upstreamOf(t.entries[a])
	}
	t.pools[name] = p
}

// updatePools replaces the records of changed upstreams in copies of their pools.
func (t *Tracker) updatePools() {
	copied := map[string]bool{}
	for e := range t.dirtyEntries {
		name := e.member.Pool
		if t.dirtyPools[name] {
			continue
		}
		if !copied[name] {
			old := t.pools[name]
			t.pools[name] = &poolView{upstreams: slices.Clone(old.upstreams), index: old.index}
			copied[name] = true
		}
		p := t.pools[name]
		p.upstreams[p.index[e.member.Address]] = t.upstreamOf(e)
	}
}

// upstreamOf returns the immutable record of an entry, building it if the entry
// changed since the last View.
func (t *Tracker) upstreamOf(e *entry) *Upstream {
	if e.published == nil {
		e.published = &Upstream{
			VM:            e.member.VM,
			Address:       e.member.Address,
			Pool:          e.member.Pool,
			Region:        e.member.Region,
			Unlisted:      e.unlisted,
			leaving:       e.leaving(),
			refusedUntil:  e.refusedUntil,
			slowStartFrom: e.slowStartFrom,
			slowStart:     t.opts.SlowStart,
			minWeight:     t.opts.MinWeight,
		}
	}
	return e.published
}

func sortObservations(observations []settings.Observation) {
	slices.SortFunc(observations, func(a, b settings.Observation) int { return strings.Compare(a.Address, b.Address) })
}
