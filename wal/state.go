package wal

import (
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/raft"
)

// Identity names the replica that a folder belongs to.
type Identity struct {
	Group   ids.GroupID
	Replica raft.ReplicaID
}

// State is what a folder holds.
type State struct {
	Identity  Identity
	HardState raft.HardState
	// Snapshot is the newest snapshot with its data, nil if there is none.
	Snapshot *raft.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []raft.Entry
	// Created is true if the folder was empty.
	Created bool
	// TornBytes is the length of the tail that was cut off.
	TornBytes int64
}

// Batch is what one Save stores, in this order.
type Batch struct {
	// Reset is a stored snapshot that replaces all entries; only its Index
	// and Term are used.
	Reset *raft.Snapshot
	// Entries replace everything from the first one's index on.
	Entries   []raft.Entry
	HardState *raft.HardState
}

// replay collects the records of the segments.
type replay struct {
	hard    raft.HardState
	entries []raft.Entry
	// next is the index that must come next, 0 if any may.
	next  uint64
	reset raft.Snapshot
}

// take applies one record and gives the reason if it does not fit.
func (p *replay) take(r *record) string {
	switch r.kind {
	case recordHardState:
		p.hard = r.hard
	case recordReset:
		p.reset, p.entries, p.next = r.reset, nil, r.reset.Index+1
	case recordEntry:
		return p.takeEntry(r.entry)
	}
	return ""
}

func (p *replay) takeEntry(e raft.Entry) string {
	if p.next != 0 && e.Index > p.next {
		return "entries are missing"
	}
	for len(p.entries) > 0 && p.entries[len(p.entries)-1].Index >= e.Index {
		p.entries = p.entries[:len(p.entries)-1]
	}
	p.entries = append(p.entries, e)
	p.next = e.Index + 1
	return ""
}

// after gives the entries that follow the snapshot, or the reason why they do
// not.
func (p *replay) after(s *raft.Snapshot) ([]raft.Entry, string) {
	base := raft.Snapshot{}
	if s != nil {
		base = *s
	}
	if p.reset.Index > base.Index {
		return nil, "the snapshot that the log continues is missing"
	}
	for i, e := range p.entries {
		if e.Index == base.Index && e.Term != base.Term {
			// The process ended after storing the snapshot and before the
			// reset; what follows belongs to a log that was replaced.
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
