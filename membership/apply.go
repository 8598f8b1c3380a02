package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// ApplyList takes a list from GET /members.
func (t *Tracker) ApplyList(list List, now time.Time) ListResult {
	if t.started && list.Seq <= t.seq {
		t.counts.OldLists++
		return ListOld
	}
	if !t.started && len(list.Members) == 0 {
		// A first list without any upstream says nothing that could be used.
		return ListSuspect
	}
	t.seq = list.Seq
	first := !t.started
	t.started = true
	suspects := t.suspects(list)
	t.add(list, now, first)
	marks := make(map[string]ListState, len(list.Members))
	for _, m := range list.Members {
		marks[m.Address] = m.State
	}
	for _, pool := range t.poolNames() {
		if suspects[pool] {
			t.hold(pool, marks, now)
			continue
		}
		delete(t.suspicions, pool)
		t.drop(pool, marks, now)
	}
	t.confirm(now)
	if len(t.suspicions) > 0 {
		return ListSuspect
	}
	return ListApplied
}

func (t *Tracker) poolNames() []string { return slices.Sorted(maps.Keys(t.members)) }

// add takes new and returning upstreams of the list.
func (t *Tracker) add(list List, now time.Time, first bool) {
	for _, m := range list.Members {
		e := t.entries[m.Address]
		if e != nil && e.member != m && identity(e.member) != identity(m) {
			// The address now belongs to another VM or pool.
			t.remove(e)
			e = nil
		}
		switch {
		case m.State != ListLive:
		case e == nil:
			t.insert(m, now, first)
		default:
			t.relist(e, now)
		}
	}
}

// identity is the member without its state.
func identity(m Member) Member {
	m.State = ""
	return m
}

func (t *Tracker) insert(m Member, now time.Time, first bool) {
	e := &entry{member: m}
	if !first {
		e.trustFrom, e.returnedAt = now, now
	}
	t.entries[m.Address] = e
	t.members[m.Pool] = append(t.members[m.Pool], m.Address)
	t.reindex[m.Pool] = true
	t.touch(e)
}

// relist handles a known upstream that the list shows as live. One that was
// seen leaving returns if a list has shown it leaving in between, or after
// LeavingHold: until then the list may simply lag.
func (t *Tracker) relist(e *entry, now time.Time) {
	if e.unlisted {
		e.unlisted = false
		t.touch(e)
	}
	if !e.leaving() {
		return
	}
	if !e.listedLeaving && now.Sub(e.leftAt) < t.opts.LeavingHold {
		return
	}
	e.leftAt = time.Time{}
	e.listedLeaving = false
	e.ownSign = ""
	e.refusals = 0
	e.refusedUntil = time.Time{}
	e.trustFrom, e.returnedAt = now, now
	t.touch(e)
}

// drop acts on upstreams of a pool that a trusted list lacks or shows as
// leaving.
func (t *Tracker) drop(pool string, marks map[string]ListState, now time.Time) {
	for _, address := range slices.Clone(t.members[pool]) {
		e := t.entries[address]
		switch marks[address] {
		case ListLive:
		case ListLeaving:
			e.listedLeaving = true
			t.markLeaving(e, now)
		default:
			t.remove(e)
		}
	}
}

func (t *Tracker) remove(e *entry) {
	m := e.member
	delete(t.entries, m.Address)
	t.members[m.Pool] = slices.DeleteFunc(t.members[m.Pool], func(a string) bool { return a == m.Address })
	t.reindex[m.Pool] = true
	t.touch(e)
}

// View gives the present view. It copies only the pools that changed and makes
// new records only of the upstreams that changed.
func (t *Tracker) View() *View {
	if len(t.dirty) == 0 && len(t.reindex) == 0 {
		return t.view
	}
	for name := range t.reindex {
		t.rebuild(name)
	}
	t.patch()
	clear(t.dirty)
	clear(t.reindex)
	t.view = &View{pools: maps.Clone(t.pools), version: t.view.version + 1}
	return t.view
}

// rebuild makes a pool's view after its set of addresses changed.
func (t *Tracker) rebuild(name string) {
	addresses := t.members[name]
	if len(addresses) == 0 {
		delete(t.pools, name)
		delete(t.members, name)
		return
	}
	slices.Sort(addresses)
	p := &poolView{upstreams: make([]*Upstream, len(addresses)), index: make(map[string]int32, len(addresses))}
	for i, a := range addresses {
		p.index[a] = int32(i)
		p.upstreams[i] = t.record(t.entries[a])
	}
	t.pools[name] = p
}

// patch replaces the records of changed upstreams in copies of their pools.
func (t *Tracker) patch() {
	copied := map[string]bool{}
	for e := range t.dirty {
		name := e.member.Pool
		if t.reindex[name] {
			continue
		}
		if !copied[name] {
			old := t.pools[name]
			t.pools[name] = &poolView{upstreams: slices.Clone(old.upstreams), index: old.index}
			copied[name] = true
		}
		p := t.pools[name]
		p.upstreams[p.index[e.member.Address]] = t.record(e)
	}
}

// record gives the immutable form of an entry.
func (t *Tracker) record(e *entry) *Upstream {
	if e.published == nil {
		e.published = &Upstream{
			VM:           e.member.VM,
			Address:      e.member.Address,
			Pool:         e.member.Pool,
			Region:       e.member.Region,
			Unlisted:     e.unlisted,
			leaving:      e.leaving(),
			refusedUntil: e.refusedUntil,
			trustFrom:    e.trustFrom,
			slowStart:    t.opts.SlowStart,
			trustFloor:   t.opts.TrustFloor,
		}
	}
	return e.published
}

func sortSigns(signs []settings.Sign) {
	slices.SortFunc(signs, func(a, b settings.Sign) int { return strings.Compare(a.Address, b.Address) })
}
