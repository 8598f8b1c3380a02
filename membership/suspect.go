package membership

import "time"

const (
	// listsToConfirm is the number of lists that must agree on a shrink.
	listsToConfirm = 2
	// confirmDivisor sets the part of the missing upstreams that own
	// observation must show gone: one in four, and at least one.
	confirmDivisor = 4
)

// suspicion is the state of a list that shrank too far.
type suspicion struct {
	// lists counts the consecutive lists that showed the shrink.
	lists int
	// since is when the first of them arrived.
	since time.Time
	// last is the newest of them.
	last   List
	listed map[string]bool
}

// shrinksByHalf says whether the list takes away at least half of the live
// upstreams of any pool. Upstreams that this VM has seen leaving or refusing do
// not count, since their loss is no surprise.
func (t *Tracker) shrinksByHalf(listed map[string]bool) bool {
	have := map[string]int{}
	lost := map[string]int{}
	for address, e := range t.entries {
		if e.leaving() || e.refusals > 0 {
			continue
		}
		have[e.member.Pool]++
		if !listed[address] {
			lost[e.member.Pool]++
		}
	}
	for pool, n := range lost {
		if have[pool] >= t.opts.ShrinkMinimum && 2*n >= have[pool] {
			return true
		}
	}
	return false
}

// holdSuspect keeps the upstreams that a suspect list lacks.
func (t *Tracker) holdSuspect(list List, listed map[string]bool, now time.Time) ListResult {
	t.counts.SuspectLists++
	if t.suspect.lists == 0 {
		t.suspect.since = now
	}
	t.suspect.lists++
	t.suspect.last = list
	t.suspect.listed = listed
	for address, e := range t.entries {
		if !listed[address] {
			e.listed = false
			e.unlisted = true
			t.touch(e)
		}
	}
	if t.confirm(now) {
		return ListApplied
	}
	return ListSuspect
}

// confirm applies a suspect list once two lists agree and this VM has itself
// seen a part of the missing upstreams gone and none of them alive since.
func (t *Tracker) confirm(now time.Time) bool {
	if t.suspect.lists < listsToConfirm {
		return false
	}
	missing, gone := 0, 0
	for address, e := range t.entries {
		if t.suspect.listed[address] {
			continue
		}
		missing++
		if e.failedSince(t.suspect.since) {
			gone++
		} else if e.succeededAt.After(t.suspect.since) {
			return false
		}
	}
	if gone < max(1, missing/confirmDivisor) {
		return false
	}
	s := t.suspect
	t.suspect = suspicion{}
	t.counts.ConfirmedLists++
	t.drop(s.last, s.listed, now)
	return true
}
