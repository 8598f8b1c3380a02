package control

import (
	"time"

	"damaskbridge.example/damaskbridge/catalog"

	"damaskbridge.example/damaskbridge/raft"
)

// view is what the replica's goroutine publishes for all others after each
// round. It does not change afterwards.
type view struct {
	role     raft.Role
	term     uint64
	leader   raft.ReplicaID
	members  raft.Members
	commit   uint64
	applied  uint64
	snapshot uint64
	match    map[raft.ReplicaID]uint64
	settings SettingsView
	// document is the published catalog document in force, nil if none.
	document *catalog.Document
	// proof is the start of the newest round in which a majority confirmed
	// this leader; zero on others. At that time no settings or document newer
	// than these were accepted anywhere.
	proof time.Time
	// leaderSince is when this replica could first serve as a leader in this
	// term; zero on others.
	leaderSince time.Time
}

func (v *view) isLeader() bool { return v.role == raft.Leader }

// state names what this view has applied.
func (v *view) state() applied {
	return applied{settings: v.settings.Version(), document: v.documentVersion()}
}

func (v *view) documentVersion() uint64 {
	if v.document == nil {
		return 0
	}
	return v.document.Version
}
