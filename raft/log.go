package raft

// configAt is a membership and the index of the entry that made it.
type configAt struct {
	index   uint64
	members Members
}

// entryLog holds the entries after base in memory. Memberships take effect
// when their entry is appended and are undone when it is truncated.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
	configs  []configAt
	// handed is the last index given out in a Ready, stable the last one that
	// the caller reported as synced.
	handed  uint64
	stable  uint64
	commit  uint64
	applied uint64
}

func newEntryLog(s State) (*entryLog, error) {
	l := &entryLog{}
	if s.Snapshot != nil {
		l.base, l.baseTerm = s.Snapshot.Index, s.Snapshot.Term
		l.configs = []configAt{{index: s.Snapshot.Index, members: s.Snapshot.Members}}
	}
	for _, e := range s.Entries {
		if e.Index != l.last()+1 {
			return nil, &GapError{Want: l.last() + 1, Got: e.Index}
		}
		if err := l.append(e); err != nil {
			return nil, err
		}
	}
	l.handed, l.stable = l.last(), l.last()
	l.applied = l.base
	l.commit = max(l.base, min(s.HardState.Commit, l.last()))
	return l, nil
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term gives the term of the entry at index, if the log still knows it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// append adds e, which is the next entry.
func (l *entryLog) append(e Entry) error {
	if e.Kind == EntryMembers {
		m, err := decodeMembers(e.Data)
		if err != nil {
			return err
		}
		l.configs = append(l.configs, configAt{index: e.Index, members: m})
	}
	l.entries = append(l.entries, e)
	return nil
}

// truncate drops the entry at index and all after it.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.base-1]
	// The slice is copied, because a Ready may still hold the dropped part.
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.handed = min(l.handed, index-1)
	l.stable = min(l.stable, index-1)
	for len(l.configs) > 0 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// slice gives the entries from lo to hi, both inclusive, up to maxBytes but at
// least one.
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

// compact forgets the entries up to index.
func (l *entryLog) compact(index uint64) {
	index = min(index, l.applied)
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	members := l.membersAt(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
	configs := []configAt{{index: index, members: members}}
	for _, c := range l.configs {
		if c.index > index {
			configs = append(configs, c)
		}
	}
	l.configs = configs
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(s *Snapshot) {
	*l = entryLog{
		base: s.Index, baseTerm: s.Term,
		configs: []configAt{{index: s.Index, members: s.Members}},
		handed:  s.Index, stable: s.Index, commit: s.Index, applied: s.Index,
	}
}

// members gives the newest membership, committed or not.
func (l *entryLog) members() Members {
	if len(l.configs) == 0 {
		return Members{}
	}
	return l.configs[len(l.configs)-1].members
}

// membersAt gives the membership as of index.
func (l *entryLog) membersAt(index uint64) Members {
	var m Members
	for _, c := range l.configs {
		if c.index <= index {
			m = c.members
		}
	}
	return m
}

// changePending says that the newest membership is not committed.
func (l *entryLog) changePending() bool {
	n := len(l.configs)
	return n > 0 && l.configs[n-1].index > l.commit
}

// upToDate says whether a log that ends at (index, term) holds every entry
// that may have been committed with this replica's acknowledgement.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// conflictHint gives the last index before the term that conflicts at index.
func (l *entryLog) conflictHint(index uint64) uint64 {
	if index > l.last() {
		return l.last()
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
