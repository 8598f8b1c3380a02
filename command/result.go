package command

import (
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// Code says how a command ended.
type Code uint8

// Codes of a result.
const (
	OK Code = iota
	// SessionEnded means that the session is not open (any more).
	SessionEnded
	// ClaimGranted means that the caller owns the key and may dispatch.
	ClaimGranted
	// ClaimInProgress means that another request owns the key.
	ClaimInProgress
	// ClaimDone means that the answer is stored; it is in the result.
	ClaimDone
	// ClaimUnknown means that the owner's session ended before a result.
	ClaimUnknown
	// ClaimConflict means that the key was used with another digest.
	ClaimConflict
	// ClaimExpired means that the key is older than the retention.
	ClaimExpired
	// ClaimFree means that the key is not known (Lookup only).
	ClaimFree
	// NotOwner means that the request does not own the key.
	NotOwner
	// FenceHeld means that another holder has the right to give orders.
	FenceHeld
	// RateExhausted means that the weight store's budget is used up.
	RateExhausted
	// Malformed means that the command could not be read.
	Malformed
)

// Result is the outcome of a command.
type Result struct {
	Code   Code   `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
	// Owner is the request that owns the key.
	Owner ids.RequestID `cbor:"3,keyasint,omitempty"`
	// Answer is the stored answer with ClaimDone.
	Answer *Answer `cbor:"4,keyasint,omitempty"`
	// RanBefore says, with ClaimExpired, that an answer had been recorded.
	RanBefore bool                   `cbor:"5,keyasint,omitempty"`
	Change    *settings.ChangeResult `cbor:"6,keyasint,omitempty"`
	// Fence is the fencing number with Acquire.
	Fence uint64 `cbor:"7,keyasint,omitempty"`
	// WaitMS is the time that a new holder of an upstream that ignores
	// fencing numbers must let pass before its first order, or the time
	// after which a refused draw may succeed, in milliseconds.
	WaitMS uint32 `cbor:"8,keyasint,omitempty"`
	// UpTo is the last sequence number that the session may use.
	UpTo uint64 `cbor:"9,keyasint,omitempty"`
}
