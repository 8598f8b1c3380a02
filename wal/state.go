package wal

import (
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/raft"
)

// Identity is the group and the replica to which a directory belongs.
type Identity struct {
	Group   ids.GroupID
	Replica raft.ReplicaID
}

// State is the content of a directory.
type State struct {
	Identity  Identity
	HardState raft.HardState
	// Snapshot is the newest snapshot with its data, nil if there is none.
	Snapshot *raft.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []raft.Entry
	// Created is true if the directory contained no log.
	Created bool
	// TornBytes is the length of the torn tail that was truncated.
	TornBytes int64
}

// Batch is the content of one Save. It is stored in the order of its fields.
type Batch struct {
	// Reset is a stored snapshot that replaces all entries; only its Index
	// and Term are used.
	Reset *raft.Snapshot
	// Entries replace all entries from the first one's index on.
	Entries   []raft.Entry
	HardState *raft.HardState
}

// replayState accumulates the records of the segments.
type replayState struct {
	hardState raft.HardState
	entries   []raft.Entry
	// nextIndex is the highest index that the next entry may have without a
	// gap; 0 if any index is valid.
	nextIndex uint64
	reset     raft.Snapshot
}

// apply applies one record. If the record is not valid, it returns the reason.
func (p *replayState) apply(r *record) string {
	switch r.kind {
	case recordHardState:
		p.hardState = r.hardState
	case recordReset:
		p.reset, p.entries, p.nextIndex = r.reset, nil, r.reset.Index+1
	case recordEntry:
		return p.applyEntry(r.entry)
	}
	return ""
}

func (p *replayState) applyEntry(e raft.Entry) string {
	if p.nextIndex != 0 && e.Index > p.nextIndex {
		return "entries are missing"
	}
	for len(p.entries) > 0 && p.entries[len(p.entries)-1].Index >= e.Index {
		p.entries = p.entries[:len(p.entries)-1]
	}
	p.entries = append(p.entries, e)
	p.nextIndex = e.Index + 1
	return ""
}

// entriesAfter returns the entries that follow the snapshot. If there is a gap,
// it returns the reason.
func (p *replayState) entriesAfter(s *raft.Snapshot) ([]raft.Entry, string) {
	base := raft.Snapshot{}
	if s != nil {
		base = *s
	}
	if p.reset.Index > base.Index {
		return nil, "the snapshot that the log continues is missing"
	}
	for i, e := range p.entries {
		if e.Index == base.Index && e.Term != base.Term {
			// The process ended after it stored the snapshot and before it
			// stored the reset. The entries belong to the replaced log.
			return nil, ""
		}
		if e.Index == base.Index+1 {
			return p.entries[i:], ""
		}
		if e.Index > base.Index {
			return nil, "entries after the snapshot are missing"
		}
	}
	return nil, ""
}
