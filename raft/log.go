package raft

// membersAtIndex is a membership and the index of the entry that introduced it.
type membersAtIndex struct {
	index   uint64
	members Members
}

// entryLog holds the entries after base, the index up to which the log is
// compacted, in memory. A membership takes effect when its entry is appended
// and is reverted when the entry is truncated.
type entryLog struct {
	base        uint64
	baseTerm    uint64
	entries     []Entry
	memberships []membersAtIndex
	// submitted is the last index that the caller received in a Ready, stable
	// the last one that it reported as synced.
	submitted uint64
	stable    uint64
	commit    uint64
	applied   uint64
}

func newEntryLog(s State) (*entryLog, error) {
	l := &entryLog{}
	if s.Snapshot != nil {
		l.base, l.baseTerm = s.Snapshot.Index, s.Snapshot.Term
		l.memberships = []membersAtIndex{{index: s.Snapshot.Index, members: s.Snapshot.Members}}
	}
	for _, e := range s.Entries {
		if e.Index != l.lastIndex()+1 {
			return nil, &GapError{Want: l.lastIndex() + 1, Got: e.Index}
		}
		if err := l.append(e); err != nil {
			return nil, err
		}
	}
	l.submitted, l.stable = l.lastIndex(), l.lastIndex()
	l.applied = l.base
	l.commit = max(l.base, min(s.HardState.Commit, l.lastIndex()))
	return l, nil
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if the entry is
// compacted or the index is beyond the end of the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// append adds e, which must be the next entry. It fails if e holds a membership
// that cannot be decoded.
func (l *entryLog) append(e Entry) error {
	if e.Kind == EntryMembers {
		m, err := decodeMembers(e.Data)
		if err != nil {
			return err
		}
		l.memberships = append(l.memberships, membersAtIndex{index: e.Index, members: m})
	}
	l.entries = append(l.entries, e)
	return nil
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.base-1]
	// The slice is copied because a Ready may still refer to the removed part.
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.submitted = min(l.submitted, index-1)
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 0 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// slice returns the entries from lo to hi, both inclusive, limited to maxBytes
// but at least one.
func (l *entryLog) slice(lo, hi uint64, maxBytes int) []Entry {
	if lo > hi {
		return nil
	}
	part := l.entries[lo-l.base-1 : hi-l.base]
	size := 0
	for i, e := range part {
		size += len(e.Data) + entryOverheadBytes
		if size > maxBytes && i > 0 {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

// compact discards the entries up to index, but none that are not applied.
func (l *entryLog) compact(index uint64) {
	index = min(index, l.applied)
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	members := l.membersAt(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
	memberships := []membersAtIndex{{index: index, members: members}}
	for _, c := range l.memberships {
		if c.index > index {
			memberships = append(memberships, c)
		}
	}
	l.memberships = memberships
}

// reset replaces the entire log with a snapshot.
func (l *entryLog) reset(s *Snapshot) {
	*l = entryLog{
		base: s.Index, baseTerm: s.Term,
		memberships: []membersAtIndex{{index: s.Index, members: s.Members}},
		submitted:   s.Index, stable: s.Index, commit: s.Index, applied: s.Index,
	}
}

// members returns the newest membership, committed or not.
func (l *entryLog) members() Members {
	if len(l.memberships) == 0 {
		return Members{}
	}
	return l.memberships[len(l.memberships)-1].members
}

// membersAt returns the membership as of index.
func (l *entryLog) membersAt(index uint64) Members {
	var m Members
	for _, c := range l.memberships {
		if c.index <= index {
			m = c.members
		}
	}
	return m
}

// changePending reports whether the newest membership is not committed.
func (l *entryLog) changePending() bool {
	n := len(l.memberships)
	return n > 0 && l.memberships[n-1].index > l.commit
}

// upToDate reports whether a log that ends at (index, term) is at least as
// up-to-date as this one. Only such a log is certain to hold every entry that
// was committed with this replica's acknowledgement.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// conflictHint returns the last index before the conflicting term at index, so
// that the leader skips the whole term instead of one entry at a time.
func (l *entryLog) conflictHint(index uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	conflicting, ok := l.term(index)
	if !ok {
		return l.commit
	}
	for index > l.commit {
		if term, _ := l.term(index); term != conflicting {
			break
		}
		index--
	}
	return index
}
