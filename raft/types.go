package raft

import (
	"fmt"

	"damaskbridge.example/damaskbridge/ids"
)

// ReplicaID identifies the replica of a group on one disk. A VM that lost its
// disk rejoins under a new incarnation, because the votes and entries that the
// old replica acknowledged are lost.
type ReplicaID struct {
	VM          ids.VMID        `cbor:"1,keyasint"`
	Incarnation ids.Incarnation `cbor:"2,keyasint"`
}

// String returns "vm/incarnation".
func (r ReplicaID) String() string {
	return fmt.Sprintf("%s/%d", r.VM, r.Incarnation)
}

// IsZero reports whether r identifies no replica.
func (r ReplicaID) IsZero() bool { return r == ReplicaID{} }

// EntryKind is the kind of an entry.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryEmpty carries no data. A leader appends it at the start of its term.
	EntryEmpty
	// EntryMembers carries an encoded Members.
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is the state besides the log that must survive a restart. Term and
// Vote are synced before any message that depends on them is sent.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// Snapshot is the state of the group after the entry at Index. Messages carry
// it without Data; the caller transfers the data separately.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint,omitempty"`
}
