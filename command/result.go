package command

import (
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// Code is the outcome of a command.
type Code uint8

// Result codes.
const (
	OK Code = iota
	// SessionEnded means that the session has ended or was never open.
	SessionEnded
	// ClaimGranted means that the request owns the key and may be dispatched.
	ClaimGranted
	// ClaimInProgress means that another request owns the key.
	ClaimInProgress
	// ClaimDone means that the answer is stored; the result contains it.
	ClaimDone
	// ClaimUnknown means that the owner's session ended before an answer was
	// stored.
	ClaimUnknown
	// ClaimConflict means that the key was used with a different digest.
	ClaimConflict
	// ClaimExpired means that the key is older than the retention.
	ClaimExpired
	// ClaimFree means that the key is unknown. Only LookupKey returns it.
	ClaimFree
	// NotOwner means that the request does not own the key.
	NotOwner
	// LeaseHeld means that another holder has the lease of the upstream.
	LeaseHeld
	// RateExhausted means that the weight store's bandwidth budget is used up.
	RateExhausted
	// Malformed means that the command could not be decoded.
	Malformed
	// Outdated means that the state has changed since the command was made.
	Outdated
)

// Result is the outcome of a command.
type Result struct {
	Code   Code   `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
	// Owner is the request that owns the key.
	Owner ids.RequestID `cbor:"3,keyasint,omitempty"`
	// Answer is the stored answer, with ClaimDone.
	Answer *Answer `cbor:"4,keyasint,omitempty"`
	// RanBefore reports, with ClaimExpired, that an answer had been recorded.
	RanBefore bool                   `cbor:"5,keyasint,omitempty"`
	Change    *settings.ChangeResult `cbor:"6,keyasint,omitempty"`
	// FencingToken is the fencing token of the lease, with AcquireLease.
	FencingToken uint64 `cbor:"7,keyasint,omitempty"`
	// WaitMS is a wait in milliseconds. With AcquireLease, it is the time that
	// the new holder must wait before its first order if the upstream does not
	// check fencing tokens. With DrawWeights, it is the time after which a
	// rejected draw may succeed.
	WaitMS uint32 `cbor:"8,keyasint,omitempty"`
	// UpTo is the last sequence number that the session may use.
	UpTo uint64 `cbor:"9,keyasint,omitempty"`
}
