// Package cbormode has the CBOR modes of stored state.
package cbormode

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

var (
	// Deterministic encodes equal values as equal bytes.
	Deterministic = Must(cbor.CoreDetEncOptions().EncMode())
	// Large decodes arrays of any length and rejects maps with duplicate keys. The
	// default limit on arrays is below the target size: the settings hold 330,000
	// results of change IDs, a snapshot hundreds of thousands of ended sessions.
	Large = Must(cbor.DecOptions{MaxArrayElements: math.MaxInt32, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

// Must returns a mode whose options are constant. It panics if they are invalid.
func Must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}
