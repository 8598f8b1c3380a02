package wire

import (
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// Renew is a message that each entry VM sends to one control VM every 500 ms. It
// renews the session and the settings lease and reports the settings version in
// effect.
type Renew struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	Region  ids.Region    `cbor:"2,keyasint"`
	// SettingsVersion is the settings version that new requests use.
	SettingsVersion uint64 `cbor:"3,keyasint"`
	// Observations are the states of upstreams that this VM has observed lately.
	// Each is sent repeatedly, in case a Renew is lost.
	Observations []settings.Observation `cbor:"4,keyasint,omitempty"`
	// Draining is true if the VM accepts no new requests.
	Draining bool `cbor:"5,keyasint,omitempty"`
}

// RenewReply is the reply to a Renew.
type RenewReply struct {
	// OK is false if the control VM cannot prove that its own state is current.
	// The lease is then not extended, and the entry VM tries the next control
	// VM.
	OK bool `cbor:"1,keyasint"`
	// AgeMS is the age in milliseconds of the control VM's proof that its state
	// is current. The lease starts AgeMS before the Renew was sent.
	AgeMS uint32 `cbor:"2,keyasint"`
	// TermMS is the duration of the lease in milliseconds.
	TermMS uint32 `cbor:"3,keyasint"`
	// Version is the newest accepted settings version.
	Version uint64 `cbor:"4,keyasint"`
	// Changes are the changes from Renew.SettingsVersion to Version, in order.
	Changes []settings.Change `cbor:"5,keyasint,omitempty"`
	// Snapshot is an encoded settings tree. It replaces Changes if the control
	// VM's history does not reach back to Renew.SettingsVersion.
	Snapshot []byte `cbor:"6,keyasint,omitempty"`
	// SessionEnded is true if the session has ended. The VM then has to open a
	// new session with a new incarnation.
	SessionEnded bool `cbor:"7,keyasint,omitempty"`
	// Observations are recent states of upstreams that other entry VMs have
	// observed.
	Observations []settings.Observation `cbor:"8,keyasint,omitempty"`
	// Drain is true if an operator has requested that the VM drain.
	Drain bool `cbor:"9,keyasint,omitempty"`
}
