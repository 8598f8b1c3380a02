// Package command defines the commands of the replicated log and the results
// that the replicated state machine returns for them.
package command

import (
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// Command is one entry of the replicated log. Exactly one of the pointers is
// set. Every command is idempotent: proposing it twice has the same effect as
// proposing it once.
type Command struct {
	// NowUnixMS is the proposing leader's wall time. The state machine's time
	// never goes backwards.
	NowUnixMS     int64            `cbor:"1,keyasint"`
	OpenSession   *OpenSession     `cbor:"2,keyasint,omitempty"`
	ExpireSession *ExpireSession   `cbor:"3,keyasint,omitempty"`
	Reserve       *Reserve         `cbor:"4,keyasint,omitempty"`
	Claim         *Claim           `cbor:"5,keyasint,omitempty"`
	Record        *Record          `cbor:"6,keyasint,omitempty"`
	ReleaseKey    *ReleaseKey      `cbor:"7,keyasint,omitempty"`
	LookupKey     *LookupKey       `cbor:"8,keyasint,omitempty"`
	Retire        *Retire          `cbor:"9,keyasint,omitempty"`
	Change        *settings.Change `cbor:"10,keyasint,omitempty"`
	AcquireLease  *AcquireLease    `cbor:"11,keyasint,omitempty"`
	ReleaseLease  *ReleaseLease    `cbor:"12,keyasint,omitempty"`
	DrawWeights   *DrawWeights     `cbor:"13,keyasint,omitempty"`
	CloseSession  *CloseSession    `cbor:"14,keyasint,omitempty"`
	// Publish makes a catalog document current if its version is the highest so
	// far.
	Publish *catalog.Document `cbor:"15,keyasint,omitempty"`
	// Evacuate starts or ends the evacuation of a data centre.
	Evacuate *evacuation.Order `cbor:"16,keyasint,omitempty"`
}

// OpenSession registers an incarnation of an entry VM. The session of an older
// incarnation of the same VM expires.
type OpenSession struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	Region  ids.Region    `cbor:"2,keyasint"`
	// Callers is the address, "ip:port", at which other entry VMs reach this
	// VM's HTTP listener.
	Callers string `cbor:"3,keyasint,omitempty"`
}

// ExpireSession ends a session whose lease has expired. The outcome of its
// claims without a stored answer becomes unknown.
type ExpireSession struct {
	Session ids.SessionID `cbor:"1,keyasint"`
}

// CloseSession ends a session after a drain, when it has no running requests.
type CloseSession struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	// LastSeq is the last sequence number that the session used.
	LastSeq uint64 `cbor:"2,keyasint"`
}

// Reserve extends the range of sequence numbers that a session may use to UpTo.
type Reserve struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	UpTo    uint64        `cbor:"2,keyasint"`
}

// Claim requests ownership of an idempotency key. The owner alone may dispatch
// the request with this key.
type Claim struct {
	Workspace string        `cbor:"1,keyasint"`
	Key       string        `cbor:"2,keyasint"`
	Digest    [32]byte      `cbor:"3,keyasint"`
	Request   ids.RequestID `cbor:"4,keyasint"`
}

// Record stores the answer to a claimed request. Only the owner of the key may
// do so.
type Record struct {
	Workspace string        `cbor:"1,keyasint"`
	Key       string        `cbor:"2,keyasint"`
	Request   ids.RequestID `cbor:"3,keyasint"`
	Answer    Answer        `cbor:"4,keyasint"`
}

// Answer is a stored HTTP response, which is returned for every repeat of the
// request.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// ReleaseKey frees a key whose owner has proof that nothing was sent.
type ReleaseKey struct {
	Workspace string        `cbor:"1,keyasint"`
	Key       string        `cbor:"2,keyasint"`
	Request   ids.RequestID `cbor:"3,keyasint"`
}

// LookupKey reads the state of a key. It goes through the log, so it reflects
// every command before it.
type LookupKey struct {
	Workspace string   `cbor:"1,keyasint"`
	Key       string   `cbor:"2,keyasint"`
	Digest    [32]byte `cbor:"3,keyasint"`
}

// Retire drops the answers that were recorded before a time of the state
// machine.
type Retire struct {
	BeforeUnixMS int64 `cbor:"1,keyasint"`
}

// AcquireLease requests a lease that gives its holder the exclusive right to
// send orders to an upstream.
type AcquireLease struct {
	Upstream string        `cbor:"1,keyasint"`
	Session  ids.SessionID `cbor:"2,keyasint"`
	// TermMS is the duration of the lease without a renewal, in milliseconds.
	TermMS uint32 `cbor:"3,keyasint"`
	// Nonce identifies the acquisition, so that a resend is recognized.
	Nonce uint64 `cbor:"4,keyasint"`
}

// ReleaseLease releases the lease of an upstream.
type ReleaseLease struct {
	Upstream string `cbor:"1,keyasint"`
	Token    uint64 `cbor:"2,keyasint"`
}

// DrawWeights requests a part of the weight store's bandwidth budget.
type DrawWeights struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	Bytes   uint64        `cbor:"2,keyasint"`
	Nonce   uint64        `cbor:"3,keyasint"`
}
