package control

import (
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/settings"
)

// raftBatch is the body of transport.MethodRaft.
type raftBatch struct {
	Messages []raft.Message `cbor:"1,keyasint"`
	// Addr is the sender's address, so that a VM outside of the settings'
	// list can be answered.
	Addr string `cbor:"2,keyasint,omitempty"`
}

// raftReply answers a raftBatch.
type raftReply struct {
	// Replaced is the identity under which the sender's VM has joined since.
	Replaced *raft.ReplicaID `cbor:"1,keyasint,omitempty"`
}

// statusCall is the body of transport.MethodStatus. One pointer is set; none
// asks for a Status.
type statusCall struct {
	Group  ids.GroupID  `cbor:"1,keyasint"`
	Join   *joinRequest `cbor:"2,keyasint,omitempty"`
	Report *report      `cbor:"3,keyasint,omitempty"`
}

// joinRequest asks for a place in the group, from a replica that has none.
type joinRequest struct {
	Replica raft.ReplicaID `cbor:"1,keyasint"`
	Addr    string         `cbor:"2,keyasint"`
}

// joinReply answers a joinRequest.
type joinReply struct {
	// Replica is the answering replica; Blank says that it has no group yet.
	Replica raft.ReplicaID `cbor:"1,keyasint"`
	Blank   bool           `cbor:"2,keyasint,omitempty"`
	// Leader is the address of the leader, if known.
	Leader string `cbor:"3,keyasint,omitempty"`
	// Refused says why the replica cannot join.
	Refused string `cbor:"4,keyasint,omitempty"`
}

// report is what a control VM tells the leader about its subscribers.
type report struct {
	From ids.VMID `cbor:"1,keyasint"`
	Addr string   `cbor:"2,keyasint"`
	// Lowest is the lowest version that any subscriber, or a new one, may
	// have in effect under a lease from this VM.
	Lowest   uint64          `cbor:"3,keyasint"`
	Sessions []sessionReport `cbor:"4,keyasint,omitempty"`
	Signs    []settings.Sign `cbor:"5,keyasint,omitempty"`
	Drains   []ids.SessionID `cbor:"6,keyasint,omitempty"`
}

// sessionReport is one subscriber.
type sessionReport struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	// AgeMS is the time since the last renewal, in milliseconds.
	AgeMS    uint32     `cbor:"2,keyasint"`
	InForce  uint64     `cbor:"3,keyasint"`
	Region   ids.Region `cbor:"4,keyasint,omitempty"`
	Draining bool       `cbor:"5,keyasint,omitempty"`
}

// reportReply answers a report.
type reportReply struct {
	// OK is true if the answering VM is a leader with a proof.
	OK bool `cbor:"1,keyasint"`
	// AgeMS is the age of the round that confirmed the leader.
	AgeMS uint32 `cbor:"2,keyasint"`
	// Version is the newest settings version accepted before that round, or
	// a later one.
	Version  uint64          `cbor:"3,keyasint"`
	InEffect uint64          `cbor:"4,keyasint"`
	Ended    []ids.SessionID `cbor:"5,keyasint,omitempty"`
	Signs    []settings.Sign `cbor:"6,keyasint,omitempty"`
	Drains   []ids.SessionID `cbor:"7,keyasint,omitempty"`
	// Document is the newest document version accepted before that round, or a
	// later one.
	Document uint64 `cbor:"8,keyasint,omitempty"`
}

// snapshotCall asks for a part of the leader's newest snapshot.
type snapshotCall struct {
	Group  ids.GroupID `cbor:"1,keyasint"`
	Index  uint64      `cbor:"2,keyasint"`
	Offset uint64      `cbor:"3,keyasint"`
}

// snapshotReply is one part. Another Index than the one asked for means that a
// newer snapshot has replaced it; the transfer then starts again.
type snapshotReply struct {
	Index  uint64 `cbor:"1,keyasint"`
	Total  uint64 `cbor:"2,keyasint"`
	Digest uint64 `cbor:"3,keyasint"` // xxhash of the whole
	Data   []byte `cbor:"4,keyasint"`
}
