package raft

import "damaskbridge.example/damaskbridge/ids"

// MessageType identifies a request or a reply.
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
	// and passes the message to Step again with Data set.
	MsgSnapshot
	// MsgTimeoutNow asks the receiver to campaign immediately.
	MsgTimeoutNow
)

// Message is one message between the replicas of a group.
type Message struct {
	Type  MessageType `cbor:"1,keyasint"`
	Group ids.GroupID `cbor:"2,keyasint"`
	From  ReplicaID   `cbor:"3,keyasint"`
	To    ReplicaID   `cbor:"4,keyasint"`
	Term  uint64      `cbor:"5,keyasint"`
	// Index and LogTerm are the log position before Entries in an append and
	// the end of the candidate's log in a vote request. In a reply, Index is
	// the last matching or the rejected index.
	Index   uint64  `cbor:"6,keyasint,omitempty"`
	LogTerm uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Commit  uint64  `cbor:"9,keyasint,omitempty"`
	Reject  bool    `cbor:"10,keyasint,omitempty"`
	// Hint is the last index at which the log of a follower that rejected an
	// append may match the leader's.
	Hint uint64 `cbor:"11,keyasint,omitempty"`
	// SentTick is the leader's tick at which the message was sent. A reply
	// echoes it, so that the lease starts at the send time.
	SentTick uint64 `cbor:"12,keyasint,omitempty"`
	// Transfer marks a vote request of a leadership transfer.
	Transfer bool      `cbor:"13,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"14,keyasint,omitempty"`
}
