package raft

import (
	"fmt"

	"damaskbridge.example/damaskbridge/ids"
)

// ReplicaID names one disk's copy of a group. A VM that lost its disk returns
// under a new incarnation, because the promises of the old copy are gone.
type ReplicaID struct {
	VM          ids.VMID        `cbor:"1,keyasint"`
	Incarnation ids.Incarnation `cbor:"2,keyasint"`
}

// String gives "vm/incarnation".
func (r ReplicaID) String() string {
	return fmt.Sprintf("%s/%d", r.VM, r.Incarnation)
}

// IsZero says that r names no replica.
func (r ReplicaID) IsZero() bool { return r == ReplicaID{} }

// EntryKind says what an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryEmpty starts a leader's term.
	EntryEmpty
	// EntryMembers carries an encoded Members.
	EntryMembers
)

// Entry is one position of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is what a replica must remember over a restart besides its log.
// Term and Vote are synced before any message that depends on them is sent.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// Snapshot is the state of the group after Index. Messages carry it without
// Data; the caller transfers the data itself.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint,omitempty"`
}
