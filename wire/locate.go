package wire

import "damaskbridge.example/damaskbridge/ids"

// Locate asks a control VM where the entry VM of a session is reached, for a
// caller that resumes a stream at another entry VM.
type Locate struct {
	Session ids.SessionID `cbor:"1,keyasint"`
}

// LocateReply answers a Locate.
type LocateReply struct {
	// Callers is the address of the VM's HTTP listener; empty if the session
	// or its address is not known.
	Callers string `cbor:"1,keyasint,omitempty"`
}
