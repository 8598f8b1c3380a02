package wire

import "damaskbridge.example/damaskbridge/ids"

// Locate asks a control VM for the address of the entry VM that owns a session.
// An entry VM sends it for a caller that resumes a stream of that session.
type Locate struct {
	Session ids.SessionID `cbor:"1,keyasint"`
}

// LocateReply is the reply to a Locate.
type LocateReply struct {
	// Callers is the address of the VM's HTTP listener for callers; empty if the
	// session or its address is unknown.
	Callers string `cbor:"1,keyasint,omitempty"`
}
