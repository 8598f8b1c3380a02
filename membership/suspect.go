package membership

import "time"

const (
	// listsToConfirm is the number of lists that must agree on a shrink.
	listsToConfirm = 2
	// confirmDivisor sets the part of the missing upstreams that own
	// observation must show gone: one in four, and at least one.
	confirmDivisor = 4
)

// suspicion is the state of a pool that shrank too far in the list.
type suspicion struct {
	// lists counts the consecutive lists that showed the shrink.
	lists int
	// since is when the first of them arrived.
	since time.Time
	// marks are the members of the newest of them.
	marks map[string]ListState
}

// suspects gives the pools of which the list leaves at most half of the
// upstreams, or none live. Upstreams that the list itself shows as leaving are
// not missing: those marks act at once, unless they would take the whole pool.
func (t *Tracker) suspects(list List) map[string]bool {
	present := map[string]int{}
	live := map[string]int{}
	for _, m := range list.Members {
		present[m.Pool]++
		if m.State == ListLive {
			live[m.Pool]++
		}
	}
	pools := map[string]bool{}
	for pool, before := range t.active() {
		if live[pool] == 0 || before >= 2*present[pool] {
			pools[pool] = true
		}
	}
	return pools
}

// active counts the upstreams by pool, without those that are leaving.
func (t *Tracker) active() map[string]int {
	n := map[string]int{}
	for _, e := range t.entries {
		if !e.leaving() {
			n[e.member.Pool]++
		}
	}
	return n
}

// hold keeps the upstreams of a pool that a suspect list lacks.
func (t *Tracker) hold(pool string, marks map[string]ListState, now time.Time) {
	t.counts.SuspectLists++
	s := t.suspicions[pool]
	if s == nil {
		s = &suspicion{since: now}
		t.suspicions[pool] = s
	}
	s.lists++
	s.marks = marks
	for _, address := range t.members[pool] {
		if e := t.entries[address]; marks[address] != ListLive && !e.unlisted {
			e.unlisted = true
			t.touch(e)
		}
	}
}

// confirm applies the suspect lists of pools for which two lists agree and this
// VM has itself seen a part of the missing upstreams gone and none of them
// alive since.
func (t *Tracker) confirm(now time.Time) {
	for pool, s := range t.suspicions {
		if s.lists >= listsToConfirm && t.seenGone(pool, s) {
			delete(t.suspicions, pool)
			t.counts.ConfirmedLists++
			t.drop(pool, s.marks, now)
		}
	}
}

func (t *Tracker) seenGone(pool string, s *suspicion) bool {
	missing, gone := 0, 0
	for _, address := range t.members[pool] {
		e := t.entries[address]
		if s.marks[address] == ListLive {
			continue
		}
		missing++
		if e.failedSince(s.since) {
			gone++
		} else if e.succeededAt.After(s.since) {
			return false
		}
	}
	return gone >= max(1, missing/confirmDivisor)
}
