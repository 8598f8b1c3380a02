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
	// snapshot is the newest stored snapshot; its index is 0 if there is none.
	snapshot  raft.Snapshot
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
		if e.Index > p.snapshot.Index+1 {
			return "entries are missing"
		}
		// The snapshot covers the gap. Earlier versions left one where a reset
		// was not stored, see continuesSnapshot.
		p.entries = nil
	}
	for len(p.entries) > 0 && p.entries[len(p.entries)-1].Index >= e.Index {
		p.entries = p.entries[:len(p.entries)-1]
	}
	p.entries = append(p.entries, e)
	p.nextIndex = e.Index + 1
	return ""
}

// continuesSnapshot reports whether the entries continue from the snapshot. They
// do not if the process ended after it stored a snapshot from the leader and
// before it stored the reset: the log then ends before the snapshot, or has an
// entry of another term at its index. Such entries belong to the replaced log.
func (p *replayState) continuesSnapshot() bool {
	s := &p.snapshot
	if p.reset.Index >= s.Index {
		return true // also if there is no snapshot
	}
	for _, e := range p.entries {
		if e.Index == s.Index {
			return e.Term == s.Term
		}
	}
	return len(p.entries) > 0 && p.entries[0].Index > s.Index
}

// entriesAfterSnapshot returns the entries that follow the snapshot of a log
// that continues from it. If there is a gap, it returns the reason.
func (p *replayState) entriesAfterSnapshot() ([]raft.Entry, string) {
	if p.reset.Index > p.snapshot.Index {
		return nil, "the snapshot that the log continues is missing"
	}
	for i, e := range p.entries {
		if e.Index == p.snapshot.Index+1 {
			return p.entries[i:], ""
		}
		if e.Index > p.snapshot.Index {
			return nil, "entries after the snapshot are missing"
		}
	}
	return nil, ""
}
