package delta

// Version states which content of a set a VM holds and how old it is.
type Version struct {
	Name   string `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	// AgeMS is the time since the content was known to be current, in ms.
	AgeMS int64 `cbor:"3,keyasint"`
}

// Update brings one set up to date, with either a difference or the whole set.
type Update struct {
	Name       string      `cbor:"1,keyasint"`
	AgeMS      int64       `cbor:"2,keyasint"`
	Difference *Difference `cbor:"3,keyasint,omitempty"`
	// Whole is the compressed list of values, Digest the digest of the set.
	Whole  []byte `cbor:"4,keyasint,omitempty"`
	Digest uint64 `cbor:"5,keyasint,omitempty"`
}

// Changes is what a VM that holds certain versions lacks.
type Changes struct {
	// AgesMS are the ages of the sets that the caller holds, in the order in
	// which it listed them; unconfirmed for a set that the sender holds in
	// another state or not at all.
	AgesMS  []int64  `cbor:"1,keyasint,omitempty"`
	Updates []Update `cbor:"2,keyasint,omitempty"`
}

// unconfirmed is the age of a version that the sender cannot confirm.
const unconfirmed = -1
