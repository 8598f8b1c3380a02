package membership

import (
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
	listed := liveByAddress(list)
	t.add(list, now, first)
	if t.shrinksByHalf(listed) {
		return t.holdSuspect(list, listed, now)
	}
	t.suspect = suspicion{}
	t.drop(list, listed, now)
	return ListApplied
}

func liveByAddress(list List) map[string]bool {
	listed := make(map[string]bool, len(list.Members))
	for _, m := range list.Members {
		if m.State == ListLive {
			listed[m.Address] = true
		}
	}
	return listed
}

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
	e := &entry{member: m, listed: true}
	if !first {
		e.trustFrom = now
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
	e.listed = true
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
	e.trustFrom = now
	t.touch(e)
}

// drop acts on upstreams that a trusted list lacks or shows as leaving.
func (t *Tracker) drop(list List, listed map[string]bool, now time.Time) {
	leaving := map[string]bool{}
	for _, m := range list.Members {
		if m.State == ListLeaving {
			leaving[m.Address] = true
		}
	}
	for address, e := range t.entries {
		switch {
		case listed[address]:
		case leaving[address]:
			e.listed, e.listedLeaving = false, true
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

// View gives the present view. It rebuilds only the pools that changed.
func (t *Tracker) View() *View {
	if len(t.stale) == 0 {
		return t.view
	}
	for name := range t.stale {
		t.rebuild(name)
	}
	clear(t.stale)
	clear(t.reindex)
	pools := make(map[string]*poolView, len(t.pools))
	for name, p := range t.pools {
		pools[name] = p
	}
	t.view = &View{pools: pools, version: t.view.version + 1}
	return t.view
}

func (t *Tracker) rebuild(name string) {
	addresses := t.members[name]
	if len(addresses) == 0 {
		delete(t.pools, name)
		delete(t.members, name)
		return
	}
	old := t.pools[name]
	p := &poolView{upstreams: make([]*Upstream, len(addresses))}
	if t.reindex[name] || old == nil {
		slices.Sort(addresses)
		p.index = make(map[string]int32, len(addresses))
		for i, a := range addresses {
			p.index[a] = int32(i)
		}
	} else {
		p.index = old.index
	}
	for i, a := range addresses {
		p.upstreams[i] = t.upstream(old, a)
	}
	t.pools[name] = p
}

// upstream reuses the record of the old view if nothing in it changed.
func (t *Tracker) upstream(old *poolView, address string) *Upstream {
	e := t.entries[address]
	u := Upstream{
		VM:           e.member.VM,
		Address:      address,
		Pool:         e.member.Pool,
		Region:       e.member.Region,
		Unlisted:     e.unlisted,
		leaving:      e.leaving(),
		refusedUntil: e.refusedUntil,
		trustFrom:    e.trustFrom,
		slowStart:    t.opts.SlowStart,
		trustFloor:   t.opts.TrustFloor,
	}
	if old != nil {
		if i, ok := old.index[address]; ok && *old.upstreams[i] == u {
			return old.upstreams[i]
		}
	}
	return &u
}

func sortSigns(signs []settings.Sign) {
	slices.SortFunc(signs, func(a, b settings.Sign) int { return strings.Compare(a.Address, b.Address) })
}
