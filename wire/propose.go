package wire

import (
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

// Propose asks a control VM to replicate a command. A control VM that is not the
// leader forwards it to the leader, at most once.
type Propose struct {
	Group     ids.GroupID     `cbor:"1,keyasint"`
	Command   command.Command `cbor:"2,keyasint"`
	Forwarded bool            `cbor:"3,keyasint,omitempty"`
}

// ProposeReply is the reply to a Propose.
type ProposeReply struct {
	// Done is true if the command was applied; Result is then its result.
	Done   bool           `cbor:"1,keyasint"`
	Result command.Result `cbor:"2,keyasint"`
	// Leader is the address of the leader if it is another VM and is known.
	Leader string `cbor:"3,keyasint,omitempty"`
	// MayApply is true if the command may still be applied, for instance because
	// leadership was lost while the command was in the log.
	MayApply bool `cbor:"4,keyasint,omitempty"`
}
