package control

import (
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/settings"
)

// raftBatch is the body of a transport.MethodRaft call.
type raftBatch struct {
	Messages []raft.Message `cbor:"1,keyasint"`
	// Addr is the sender's address. It lets a receiver answer a VM that its
	// settings do not list.
	Addr string `cbor:"2,keyasint,omitempty"`
}

// raftReply is the response to a raftBatch.
type raftReply struct {
	// Replaced is the newer identity under which the sender's VM has joined;
	// nil if the sender's identity is current.
	Replaced *raft.ReplicaID `cbor:"1,keyasint,omitempty"`
}

// statusRequest is the body of a transport.MethodStatus call. At most one
// pointer is set; if none is, the call asks for a Status.
type statusRequest struct {
	Group  ids.GroupID   `cbor:"1,keyasint"`
	Join   *joinRequest  `cbor:"2,keyasint,omitempty"`
	Report *report       `cbor:"3,keyasint,omitempty"`
	Leave  *leaveRequest `cbor:"4,keyasint,omitempty"`
}

// joinRequest asks to add a replica that is not a member to the group.
type joinRequest struct {
	Replica raft.ReplicaID `cbor:"1,keyasint"`
	Addr    string         `cbor:"2,keyasint"`
}

// joinReply is the response to a joinRequest.
type joinReply struct {
	// Replica is the answering replica. Uninitialized is true if it has no group
	// yet.
	Replica       raft.ReplicaID `cbor:"1,keyasint"`
	Uninitialized bool           `cbor:"2,keyasint,omitempty"`
	// Leader is the address of the leader, or empty if unknown.
	Leader string `cbor:"3,keyasint,omitempty"`
	// Refused is the reason why the replica cannot join.
	Refused string `cbor:"4,keyasint,omitempty"`
}

// report is a control VM's message to the leader about its subscribers.
type report struct {
	From ids.VMID `cbor:"1,keyasint"`
	Addr string   `cbor:"2,keyasint"`
	// Lowest is the lowest settings version that a subscriber, present or new,
	// may use under a lease from this VM.
	Lowest       uint64                 `cbor:"3,keyasint"`
	Sessions     []sessionReport        `cbor:"4,keyasint,omitempty"`
	Observations []settings.Observation `cbor:"5,keyasint,omitempty"`
	Drains       []ids.SessionID        `cbor:"6,keyasint,omitempty"`
}

// sessionReport describes one subscriber.
type sessionReport struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	// AgeMS is the time since the last renewal, in milliseconds.
	AgeMS    uint32     `cbor:"2,keyasint"`
	InForce  uint64     `cbor:"3,keyasint"`
	Region   ids.Region `cbor:"4,keyasint,omitempty"`
	Draining bool       `cbor:"5,keyasint,omitempty"`
}

// reportReply is the response to a report.
type reportReply struct {
	// OK is true if the answering VM is a leader that a majority has confirmed.
	OK bool `cbor:"1,keyasint"`
	// AgeMS is the time since the start of the confirming heartbeat round, in
	// milliseconds.
	AgeMS uint32 `cbor:"2,keyasint"`
	// Version is at least the newest settings version accepted before that
	// round.
	Version      uint64                 `cbor:"3,keyasint"`
	InEffect     uint64                 `cbor:"4,keyasint"`
	Ended        []ids.SessionID        `cbor:"5,keyasint,omitempty"`
	Observations []settings.Observation `cbor:"6,keyasint,omitempty"`
	Drains       []ids.SessionID        `cbor:"7,keyasint,omitempty"`
	// Document is at least the newest document version accepted before that
	// round.
	Document uint64 `cbor:"8,keyasint,omitempty"`
	// Evacuations is at least the newest version of the evacuations accepted before
	// that round.
	Evacuations uint64 `cbor:"9,keyasint,omitempty"`
}

// snapshotRequest asks for a chunk of the leader's newest snapshot.
type snapshotRequest struct {
	Group  ids.GroupID `cbor:"1,keyasint"`
	Index  uint64      `cbor:"2,keyasint"`
	Offset uint64      `cbor:"3,keyasint"`
}

// snapshotReply is one chunk. If Index is not the requested one, a newer
// snapshot has replaced it and the transfer starts over.
type snapshotReply struct {
	Index  uint64 `cbor:"1,keyasint"`
	Total  uint64 `cbor:"2,keyasint"`
	Digest uint64 `cbor:"3,keyasint"` // xxhash of the whole encoded snapshot
	Data   []byte `cbor:"4,keyasint"`
}
