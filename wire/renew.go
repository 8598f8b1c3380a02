package wire

import (
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// Renew is sent by each entry VM to one control VM every 500 ms. It keeps the
// session and the settings lease alive and confirms what is in force.
type Renew struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	Region  ids.Region    `cbor:"2,keyasint"`
	// InForce is the settings version that every new request now gets.
	InForce uint64 `cbor:"3,keyasint"`
	// Signs are upstreams' states seen since the last call.
	Signs []settings.Sign `cbor:"4,keyasint,omitempty"`
	// Draining says that the VM takes no new requests.
	Draining bool `cbor:"5,keyasint,omitempty"`
}

// RenewReply answers a Renew.
type RenewReply struct {
	// OK is false if the control VM itself cannot prove that it is current;
	// the entry VM then asks the next one and its lease is not extended.
	OK bool `cbor:"1,keyasint"`
	// AgeMS is how old the control VM's proof of being current is, in
	// milliseconds. The lease runs from the sending of Renew minus AgeMS.
	AgeMS uint32 `cbor:"2,keyasint"`
	// TermMS is the lease term in milliseconds.
	TermMS uint32 `cbor:"3,keyasint"`
	// Version is the newest accepted settings version.
	Version uint64 `cbor:"4,keyasint"`
	// Changes lead from Renew.InForce to Version, in order.
	Changes []settings.Change `cbor:"5,keyasint,omitempty"`
	// Snapshot is a whole encoded tree, sent if Changes cannot reach back.
	Snapshot []byte `cbor:"6,keyasint,omitempty"`
	// SessionEnded tells the VM to open a new session with a new incarnation.
	SessionEnded bool `cbor:"7,keyasint,omitempty"`
	// Signs are recent upstream states seen by other entry VMs.
	Signs []settings.Sign `cbor:"8,keyasint,omitempty"`
	// Drain tells the VM that an operator asked it to drain.
	Drain bool `cbor:"9,keyasint,omitempty"`
}
