package wire

import (
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

// Propose asks for a command to be replicated. A control VM that is not the
// leader forwards it once.
type Propose struct {
	Group     ids.GroupID     `cbor:"1,keyasint"`
	Command   command.Command `cbor:"2,keyasint"`
	Forwarded bool            `cbor:"3,keyasint,omitempty"`
}

// ProposeReply answers a Propose.
type ProposeReply struct {
	// Done is true if the command was applied; Result is then its result.
	Done   bool           `cbor:"1,keyasint"`
	Result command.Result `cbor:"2,keyasint"`
	// Leader is the address of the leader if it is known and is another VM.
	Leader string `cbor:"3,keyasint,omitempty"`
	// MayApply is true if the command was not applied yet but may still be,
	// for instance because leadership was lost while it was in the log.
	MayApply bool `cbor:"4,keyasint,omitempty"`
}
