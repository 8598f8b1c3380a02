package settings

import (
	"fmt"
	"strconv"
)

const (
	// maxIDBytes bounds a change id, which is kept for 30 days or more.
	maxIDBytes = 128
	// outcomesMin and outcomesAge say how long results of change ids are
	// kept: one goes only when it is beyond both.
	outcomesMin = 100_000
	outcomesAge = 30 * day
	// historyMin is the number of changes kept for deltas and conflicts,
	// about two days at the target of 11,000 changes a day. An entry VM that
	// is further behind gets a snapshot.
	historyMin = 20_000
	// maxWinnerOps bounds the operations that a conflict shows of its winner,
	// which may be a document with thousands.
	maxWinnerOps = 100
	// dropsPerChange bounds the work of one change for items past their age.
	dropsPerChange = 4
)

// outcome is the stored first result of a change id.
type outcome struct {
	id       string
	operator string
	base     uint64
	state    ApplyState
	version  uint64
	detail   string
	// winner is the version of the winning change of a conflict.
	winner   uint64
	atUnixMS int64
}

// Apply gives the tree after the change and what the operator receives. A change
// id that was applied before gives the same tree and the first result again.
// A change that is not accepted gives a tree of the same version that holds
// the result of its id. AtUnixMS of the change is the time for its retention.
func (t *Tree) Apply(c Change) (*Tree, ChangeResult) {
	if c.ID == "" || len(c.ID) > maxIDBytes {
		detail := fmt.Sprintf("the change id has %d bytes; give one of 1 to %d bytes", len(c.ID), maxIDBytes)
		return t, ChangeResult{State: Invalid, Version: t.version, Detail: detail}
	}
	if first, ok := t.byID.get(c.ID); ok {
		return t, t.resend(first, &c)
	}
	out, o := t.decide(&c)
	o.id, o.operator, o.base, o.atUnixMS = c.ID, c.Operator, c.Base, c.AtUnixMS
	out = out.remember(o)
	return out, out.result(o)
}

// decide applies the change without regard to its id.
func (t *Tree) decide(c *Change) (*Tree, *outcome) {
	if c.Base > t.version {
		detail := fmt.Sprintf("base %d is above the current version %d; read the current version and give it as base", c.Base, t.version)
		return t, &outcome{state: Invalid, version: t.version, detail: detail}
	}
	if c.Base < t.version {
		detail := fmt.Sprintf("the change was made on version %d and the current version is %d", c.Base, t.version)
		return t, &outcome{state: Conflict, version: t.version, detail: detail, winner: c.Base + 1}
	}
	out, faults := t.edit(c.Ops, t.version+1, true)
	if len(faults) > 0 {
		return t, &outcome{state: Invalid, version: t.version, detail: faults.Error()}
	}
	accepted := *c
	accepted.Version = out.version
	out.history = out.history.append(&accepted)
	for range dropsPerChange {
		if out.history.len() > historyMin {
			out.history = out.history.dropFirst()
		}
	}
	return out, &outcome{state: Accepted, version: out.version}
}

// resend answers a change whose id is known.
func (t *Tree) resend(first *outcome, c *Change) ChangeResult {
	if first.operator != c.Operator || first.base != c.Base {
		detail := fmt.Sprintf("change id %s was used by operator %s on base %d; use a new id for a new change", strconv.Quote(c.ID), strconv.Quote(first.operator), first.base)
		return ChangeResult{State: Invalid, Version: t.version, Detail: detail}
	}
	return t.result(first)
}

// Result gives the stored result of a change id.
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
	winner, ok := t.accepted(o.winner)
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

// accepted gives the change that made version, if the history reaches back.
func (t *Tree) accepted(version uint64) (*Change, bool) {
	first := t.version - uint64(t.history.len())
	if version <= first || version > t.version {
		return nil, false
	}
	return t.history.at(int(version - first - 1)), true
}

// remember stores the result of a change id and drops those past their age.
func (t *Tree) remember(o *outcome) *Tree {
	out := *t
	out.outcomes = out.outcomes.append(o)
	out.byID = out.byID.put(o.id, o)
	oldest := o.atUnixMS - outcomesAge.Milliseconds()
	for range dropsPerChange {
		if out.outcomes.len() <= outcomesMin {
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

// Since gives the changes that lead from version to the present one; false if
// the history does not reach back, or version is not one of this tree's past.
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

// History gives at most limit accepted changes with versions up to and
// including before, newest first; before 0 stands for the present version.
func (t *Tree) History(before uint64, limit int) []Change {
	if before == 0 || before > t.version {
		before = t.version
	}
	var changes []Change
	for v := before; v > 0 && len(changes) < limit; v-- {
		c, ok := t.accepted(v)
		if !ok {
			break
		}
		changes = append(changes, *c)
	}
	return changes
}

// Replay gives the tree after accepted changes, as an entry VM applies them.
// Changes up to the tree's own version are passed over; a gap is an error, as
// is a change that cannot be applied, and asks for a whole tree. The result
// keeps neither history nor results of change ids.
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
		next, faults := out.edit(c.Ops, c.Version, false)
		if len(faults) > 0 {
			return nil, fmt.Errorf("settings: change %d cannot be applied, fetch the whole tree: %w", c.Version, faults)
		}
		out = next
	}
	if out != t {
		out.history, out.outcomes, out.byID = log[Change]{}, log[outcome]{}, trie[*outcome]{}
	}
	return out, nil
}

// Preview gives the tree that ops would make, with the faults that would have
// them refused. Neither history nor change ids are touched.
func (t *Tree) Preview(ops []Op) (*Tree, error) {
	out, faults := t.edit(ops, t.version+1, true)
	if len(faults) > 0 {
		return nil, faults
	}
	return out, nil
}
