package membership

import "time"

const (
	// minAgreeingLists is the number of consecutive lists that must show a
	// shrink before it is applied.
	minAgreeingLists = 2
	// goneDivisor sets the fraction of the missing upstreams that must have been
	// observed as gone: a quarter, and at least one.
	goneDivisor = 4
)

// pendingRemoval holds the deferred removals of a pool that shrank too far in the
// membership list.
type pendingRemoval struct {
	// lists is the number of consecutive lists that showed the shrink.
	lists int
	// since is the arrival time of the first of these lists.
	since time.Time
	// states holds the member states of the newest of these lists, by address.
	states map[string]ListState
}

// suspectPools returns the pools of which the list keeps at most half of the
// upstreams, or none as live. Upstreams that the list shows as leaving do not
// count as missing: the leaving state takes effect immediately, unless no live
// upstream would remain in the pool.
func (t *Tracker) suspectPools(list List) map[string]bool {
	present := map[string]int{}
	live := map[string]int{}
	for _, m := range list.Members {
		present[m.Pool]++
		if m.State == ListLive {
			live[m.Pool]++
		}
	}
	pools := map[string]bool{}
	for pool, before := range t.countActive() {
		if live[pool] == 0 || before >= 2*present[pool] {
			pools[pool] = true
		}
	}
	return pools
}

// countActive returns the number of upstreams in each pool that are not leaving.
func (t *Tracker) countActive() map[string]int {
	n := map[string]int{}
	for _, e := range t.entries {
		if !e.leaving() {
			n[e.member.Pool]++
		}
	}
	return n
}

// deferRemoval records that a list shrinks the pool too far. The upstreams that
// the list lacks or shows as leaving stay in use and are flagged as unlisted.
func (t *Tracker) deferRemoval(pool string, states map[string]ListState, now time.Time) {
	t.counts.SuspectLists++
	r := t.pendingRemovals[pool]
	if r == nil {
		r = &pendingRemoval{since: now}
		t.pendingRemovals[pool] = r
	}
	r.lists++
	r.states = states
	for _, address := range t.poolAddresses[pool] {
		if e := t.entries[address]; states[address] != ListLive && !e.unlisted {
			e.unlisted = true
			t.markDirty(e)
		}
	}
}

// applyConfirmed applies the deferred removals of each pool that
// minAgreeingLists lists have shown, provided that observations of this VM or of
// others show enough of the missing upstreams as gone and this VM has reached
// none of the rest since the first of these lists.
func (t *Tracker) applyConfirmed(now time.Time) {
	for pool, r := range t.pendingRemovals {
		if r.lists >= minAgreeingLists && t.observedGone(pool, r) {
			delete(t.pendingRemovals, pool)
			t.counts.ConfirmedLists++
			t.removeMissing(pool, r.states, now)
		}
	}
}

// observedGone reports whether observations since the first list that showed the
// shrink confirm it.
func (t *Tracker) observedGone(pool string, r *pendingRemoval) bool {
	missing, gone := 0, 0
	for _, address := range t.poolAddresses[pool] {
		e := t.entries[address]
		if r.states[address] == ListLive {
			continue
		}
		missing++
		if e.failedSince(r.since) {
			gone++
		} else if e.succeededAt.After(r.since) {
			return false
		}
	}
	return gone >= max(1, missing/goneDivisor)
}
