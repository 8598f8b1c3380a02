package settings

import (
	"fmt"
	"strconv"
)

const (
	// maxIDBytes limits the length of a change id. Ids are kept for at least
	// outcomeRetention.
	maxIDBytes = 128
	// minOutcomes and outcomeRetention determine how long the results of
	// change ids are kept: a result is evicted only when it is older than
	// outcomeRetention and at least minOutcomes newer results exist.
	minOutcomes      = 100_000
	outcomeRetention = 30 * day
	// maxHistory is the number of changes kept for deltas and for conflict
	// details, about two days at the target of 11,000 changes a day. An entry
	// VM that is further behind receives a snapshot.
	maxHistory = 20_000
	// maxWinnerOps limits the operations of the winning change that a conflict
	// result includes; a change made from a document may have thousands.
	maxWinnerOps = 100
	// maxEvictionsPerChange limits the items that one change evicts from the
	// history and from the outcomes, so that the cost of a change is bounded.
	maxEvictionsPerChange = 4
)

// outcome is the stored result of the first change with an id.
type outcome struct {
	id       string
	operator string
	base     uint64
	state    ApplyState
	version  uint64
	detail   string
	// winner is the version of the winning change if state is Conflict.
	winner   uint64
	atUnixMS int64
}

// Apply returns the tree after the change and the result for the operator. For
// a change id that was applied before, it returns the unchanged tree and the
// stored result. For a change that is not accepted, the returned tree has the
// same version and records the result of the change id. The retention of the
// result counts from the change's AtUnixMS.
func (t *Tree) Apply(c Change) (*Tree, ChangeResult) {
	if c.ID == "" || len(c.ID) > maxIDBytes {
		detail := fmt.Sprintf("the change id has %d bytes; give one of 1 to %d bytes", len(c.ID), maxIDBytes)
		return t, ChangeResult{State: Invalid, Version: t.version, Detail: detail}
	}
	if first, ok := t.byID.get(c.ID); ok {
		return t, t.repeatedResult(first, &c)
	}
	out, o := t.applyNew(&c)
	o.id, o.operator, o.base, o.atUnixMS = c.ID, c.Operator, c.Base, c.AtUnixMS
	out = out.recordOutcome(o)
	return out, out.result(o)
}

// applyNew applies a change whose id has no stored result.
func (t *Tree) applyNew(c *Change) (*Tree, *outcome) {
	if c.Base > t.version {
		detail := fmt.Sprintf("base %d is above the current version %d; read the current version and give it as base", c.Base, t.version)
		return t, &outcome{state: Invalid, version: t.version, detail: detail}
	}
	if c.Base < t.version {
		detail := fmt.Sprintf("the change was made on version %d and the current version is %d", c.Base, t.version)
		return t, &outcome{state: Conflict, version: t.version, detail: detail, winner: c.Base + 1}
	}
	out, violations := t.applyOps(c.Ops, t.version+1, true)
	if len(violations) > 0 {
		return t, &outcome{state: Invalid, version: t.version, detail: violations.Error()}
	}
	accepted := *c
	accepted.Version = out.version
	out.history = out.history.append(&accepted)
	for range maxEvictionsPerChange {
		if out.history.len() > maxHistory {
			out.history = out.history.dropFirst()
		}
	}
	return out, &outcome{state: Accepted, version: out.version}
}

// repeatedResult returns the stored result of a change id, or Invalid if the id
// was used by another operator or on another base.
func (t *Tree) repeatedResult(first *outcome, c *Change) ChangeResult {
	if first.operator != c.Operator || first.base != c.Base {
		detail := fmt.Sprintf("change id %s was used by operator %s on base %d; use a new id for a new change", strconv.Quote(c.ID), strconv.Quote(first.operator), first.base)
		return ChangeResult{State: Invalid, Version: t.version, Detail: detail}
	}
	return t.result(first)
}

// Result returns the stored result of a change id.
func (t *Tree) Result(id string) (ChangeResult, bool) {
	o, ok := t.byID.get(id)
	if !ok {
		return ChangeResult{}, false
	}
	return t.result(o), true
}

func (t *Tree) result(o *outcome) ChangeResult {
	r := ChangeResult{State: o.state, Version: o.version, Detail: o.detail}
	if o.state != Conflict {
		return r
	}
	winner, ok := t.acceptedChange(o.winner)
	if !ok {
		r.Detail += fmt.Sprintf("; the winning change %d is older than the history", o.winner)
		return r
	}
	r.Winner = winner
	if n := len(winner.Ops); n > maxWinnerOps {
		short := *winner
		short.Ops = winner.Ops[:maxWinnerOps]
		r.Winner = &short
		r.Detail += fmt.Sprintf("; %d of the winning change's %d operations are shown, the history has all", maxWinnerOps, n)
	}
	return r
}

// acceptedChange returns the change that created version, if the history still
// holds it.
func (t *Tree) acceptedChange(version uint64) (*Change, bool) {
	first := t.version - uint64(t.history.len())
	if version <= first || version > t.version {
		return nil, false
	}
	return t.history.at(int(version - first - 1)), true
}

// recordOutcome returns a tree that stores the result of a change id, and
// evicts expired results.
func (t *Tree) recordOutcome(o *outcome) *Tree {
	out := *t
	out.outcomes = out.outcomes.append(o)
	out.byID = out.byID.put(o.id, o)
	oldest := o.atUnixMS - outcomeRetention.Milliseconds()
	for range maxEvictionsPerChange {
		if out.outcomes.len() <= minOutcomes {
			break
		}
		first := out.outcomes.at(0)
		if first.atUnixMS >= oldest {
			break
		}
		out.byID = out.byID.remove(first.id)
		out.outcomes = out.outcomes.dropFirst()
	}
	return &out
}

// Since returns the changes from version to the current version. It returns
// false if the history does not reach back to version or version is newer than
// the tree.
func (t *Tree) Since(version uint64) ([]Change, bool) {
	if version > t.version {
		return nil, false
	}
	missing := t.version - version
	if missing > uint64(t.history.len()) {
		return nil, false
	}
	changes := make([]Change, 0, missing)
	for i := t.history.len() - int(missing); i < t.history.len(); i++ {
		changes = append(changes, *t.history.at(i))
	}
	return changes, true
}

// History returns at most limit accepted changes with versions up to and
// including before, newest first. If before is 0, it starts at the current
// version.
func (t *Tree) History(before uint64, limit int) []Change {
	if before == 0 || before > t.version {
		before = t.version
	}
	var changes []Change
	for v := before; v > 0 && len(changes) < limit; v-- {
		c, ok := t.acceptedChange(v)
		if !ok {
			break
		}
		changes = append(changes, *c)
	}
	return changes
}

// Replay returns the tree after applying accepted changes, as entry VMs do. It
// skips changes up to the tree's own version. A gap between versions or a
// change that cannot be applied is an error; the caller then has to fetch the
// whole tree. The resulting tree has no history and no results of change ids.
func (t *Tree) Replay(changes []Change) (*Tree, error) {
	out := t
	for i := range changes {
		c := &changes[i]
		if c.Version <= out.version {
			continue
		}
		if c.Version != out.version+1 {
			return nil, fmt.Errorf("settings: change %d does not follow version %d; fetch the whole tree", c.Version, out.version)
		}
		next, violations := out.applyOps(c.Ops, c.Version, false)
		if len(violations) > 0 {
			return nil, fmt.Errorf("settings: change %d cannot be applied, fetch the whole tree: %w", c.Version, violations)
		}
		out = next
	}
	if out != t {
		out.history, out.outcomes, out.byID = persistentLog[Change]{}, persistentLog[outcome]{}, trie[*outcome]{}
	}
	return out, nil
}

// Preview returns the tree that ops would create, or the Violations for which
// they would be rejected. It records neither history nor change ids.
func (t *Tree) Preview(ops []Op) (*Tree, error) {
	out, violations := t.applyOps(ops, t.version+1, true)
	if len(violations) > 0 {
		return nil, violations
	}
	return out, nil
}
