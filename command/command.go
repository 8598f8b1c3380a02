// Package command defines the commands that are replicated through the log and
// the results that the replicated state machine gives for them.
package command

import (
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// Command is one entry of the replicated log. Exactly one of the pointers is
// set. Each is idempotent: proposing it twice has the effect of once.
type Command struct {
	// NowUnixMS is the proposing leader's wall time. The state machine never
	// lets its own time go back.
	NowUnixMS     int64            `cbor:"1,keyasint"`
	OpenSession   *OpenSession     `cbor:"2,keyasint,omitempty"`
	ExpireSession *ExpireSession   `cbor:"3,keyasint,omitempty"`
	Reserve       *Reserve         `cbor:"4,keyasint,omitempty"`
	Claim         *Claim           `cbor:"5,keyasint,omitempty"`
	Record        *Record          `cbor:"6,keyasint,omitempty"`
	Release       *Release         `cbor:"7,keyasint,omitempty"`
	Lookup        *Lookup          `cbor:"8,keyasint,omitempty"`
	Retire        *Retire          `cbor:"9,keyasint,omitempty"`
	Change        *settings.Change `cbor:"10,keyasint,omitempty"`
	Acquire       *Acquire         `cbor:"11,keyasint,omitempty"`
	Drop          *Drop            `cbor:"12,keyasint,omitempty"`
	DrawWeights   *DrawWeights     `cbor:"13,keyasint,omitempty"`
	CloseSession  *CloseSession    `cbor:"14,keyasint,omitempty"`
	// Publish puts a catalog document in force if its version is the highest.
	Publish *catalog.Document `cbor:"15,keyasint,omitempty"`
}

// OpenSession registers an incarnation of an entry VM. An older incarnation of
// the same VM expires with it.
type OpenSession struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	Region  ids.Region    `cbor:"2,keyasint"`
	// Callers is the address at which other entry VMs reach this one's HTTP
	// listener, "ip:port".
	Callers string `cbor:"3,keyasint,omitempty"`
}

// ExpireSession ends a session whose lease has run out. Its claims without a
// result become unknown.
type ExpireSession struct {
	Session ids.SessionID `cbor:"1,keyasint"`
}

// CloseSession ends a session after a drain, when it has no open request.
type CloseSession struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	// LastSeq is the last sequence number that the session used.
	LastSeq uint64 `cbor:"2,keyasint"`
}

// Reserve extends the sequence numbers that a session may use to UpTo.
type Reserve struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	UpTo    uint64        `cbor:"2,keyasint"`
}

// Claim asks for the right to dispatch the request with this key.
type Claim struct {
	Workspace string        `cbor:"1,keyasint"`
	Key       string        `cbor:"2,keyasint"`
	Digest    [32]byte      `cbor:"3,keyasint"`
	Request   ids.RequestID `cbor:"4,keyasint"`
}

// Record stores the result of a claimed request. Only the claim's owner may.
type Record struct {
	Workspace string        `cbor:"1,keyasint"`
	Key       string        `cbor:"2,keyasint"`
	Request   ids.RequestID `cbor:"3,keyasint"`
	Answer    Answer        `cbor:"4,keyasint"`
}

// Answer is a stored answer, given again to every repeat of the request.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// Release frees a key whose owner proves that nothing was sent.
type Release struct {
	Workspace string        `cbor:"1,keyasint"`
	Key       string        `cbor:"2,keyasint"`
	Request   ids.RequestID `cbor:"3,keyasint"`
}

// Lookup reads the state of a key through the log.
type Lookup struct {
	Workspace string   `cbor:"1,keyasint"`
	Key       string   `cbor:"2,keyasint"`
	Digest    [32]byte `cbor:"3,keyasint"`
}

// Retire drops answers recorded before the given time of the state machine.
type Retire struct {
	BeforeUnixMS int64 `cbor:"1,keyasint"`
}

// Acquire asks for the right to give orders to an upstream.
type Acquire struct {
	Upstream string        `cbor:"1,keyasint"`
	Session  ids.SessionID `cbor:"2,keyasint"`
	// TermMS is how long the right lasts without a renewal, in milliseconds.
	TermMS uint32 `cbor:"3,keyasint"`
	// Nonce makes a resend of the same acquisition recognizable.
	Nonce uint64 `cbor:"4,keyasint"`
}

// Drop gives the right to give orders back.
type Drop struct {
	Upstream string `cbor:"1,keyasint"`
	Number   uint64 `cbor:"2,keyasint"`
}

// DrawWeights asks for a slice of the weight store's rate budget.
type DrawWeights struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	Bytes   uint64        `cbor:"2,keyasint"`
	Nonce   uint64        `cbor:"3,keyasint"`
}
