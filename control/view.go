package control

import (
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/raft"
)

// view is the immutable state that the replica's goroutine publishes after each
// iteration of its event loop.
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
	// document is the catalog document in force, or nil.
	document *catalog.Document
	// evacuations are the evacuated data centres, nil before the first order.
	evacuations *evacuation.Table
	// confirmedAt is the start of the newest heartbeat round in which a
	// majority confirmed this leader; zero on other replicas. At that time no
	// replica had accepted newer settings or a newer document than these.
	confirmedAt time.Time
	// leaderSince is when this replica first held a valid lease as the leader
	// of this term; zero on other replicas.
	leaderSince time.Time
	// paused is true while the disk is full: this replica learns of no newer
	// settings and of no newer document.
	paused bool
}

func (v *view) isLeader() bool { return v.role == raft.Leader }

// versions returns the versions that this view has applied.
func (v *view) versions() appliedVersions {
	return appliedVersions{settings: v.settings.Version(), document: v.documentVersion(), evacuations: evacuation.VersionOf(v.evacuations)}
}

func (v *view) documentVersion() uint64 {
	if v.document == nil {
		return 0
	}
	return v.document.Version
}
