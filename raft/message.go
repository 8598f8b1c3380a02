package raft

import "damaskbridge.example/damaskbridge/ids"

// MessageType says what a message asks or answers.
type MessageType uint8

// Types of messages.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	// MsgSnapshot offers a snapshot. The receiver's caller fetches the data
	// and steps the message again with Data set.
	MsgSnapshot
	// MsgTimeoutNow asks the receiver to campaign at once.
	MsgTimeoutNow
)

// Message is one message between the replicas of a group.
type Message struct {
	Type  MessageType `cbor:"1,keyasint"`
	Group ids.GroupID `cbor:"2,keyasint"`
	From  ReplicaID   `cbor:"3,keyasint"`
	To    ReplicaID   `cbor:"4,keyasint"`
	Term  uint64      `cbor:"5,keyasint"`
	// Index and LogTerm are the position before Entries in an append, the
	// last position of the candidate in a vote, and the last matching or the
	// refused position in a reply.
	Index   uint64  `cbor:"6,keyasint,omitempty"`
	LogTerm uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Commit  uint64  `cbor:"9,keyasint,omitempty"`
	Reject  bool    `cbor:"10,keyasint,omitempty"`
	// Hint is the last index that the refusing follower may share.
	Hint uint64 `cbor:"11,keyasint,omitempty"`
	// Round is the leader's tick at which the message was sent. A reply
	// repeats it, so that the lease runs from the sending.
	Round uint64 `cbor:"12,keyasint,omitempty"`
	// Transfer marks a vote that the leader itself has asked for.
	Transfer bool      `cbor:"13,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"14,keyasint,omitempty"`
}
