package directory

import (
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/delta"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/quarantine"
)

// formatSets is the message format in which lists travel as sets. VMs of the
// release before it send no format and whole lists, see legacy.go.
const formatSets = 1

// EntryVM describes an entry VM that watches the directory.
type EntryVM struct {
	// Addr is the address for calls of other VMs.
	Addr   string `cbor:"1,keyasint"`
	Zone   string `cbor:"2,keyasint"`
	Region string `cbor:"3,keyasint"`
	// Draining is true if the VM is stopping and takes no work from other VMs.
	Draining bool `cbor:"4,keyasint,omitempty"`
}

// watchCall is a long poll for changes since the caller's state. The reply is
// sent at once if the caller lacks something that it waits for, and otherwise
// at the next such change or after WaitMS. Entry VMs wait for documents, runners
// and entry VMs, control VMs for all sets.
type watchCall struct {
	From    EntryVM `cbor:"1,keyasint"`
	Version uint64  `cbor:"2,keyasint"`
	WaitMS  uint32  `cbor:"5,keyasint"`
	Format  uint8   `cbor:"7,keyasint,omitempty"`
	// Sets are the versions of the sets that the caller holds.
	Sets []delta.Version `cbor:"8,keyasint,omitempty"`
	// Probe asks only for AgeMS, Controls and Format.
	Probe bool `cbor:"9,keyasint,omitempty"`
	// Control is true if the caller is a control VM.
	Control bool `cbor:"10,keyasint,omitempty"`
	// Report is what the calling entry VM has observed of crashed runners, nil if
	// there is nothing.
	Report *quarantine.Report `cbor:"11,keyasint,omitempty"`
	// EvacuationVersion is that of the evacuations that the caller holds.
	EvacuationVersion uint64 `cbor:"12,keyasint,omitempty"`

	legacyCall
}

// watchReply answers a watchCall.
type watchReply struct {
	// AgeMS is the maximum age of the control VM's state, negative if it has no
	// contact with a leader.
	AgeMS int64 `cbor:"1,keyasint"`
	// Document is the newest document if the caller has no document that Patch
	// could start from.
	Document *catalog.Document `cbor:"2,keyasint,omitempty"`
	// Controls are the addresses of the control VMs.
	Controls []string `cbor:"4,keyasint"`
	Format   uint8    `cbor:"7,keyasint,omitempty"`
	// HeldMS is how long the call was held until the reply was put together.
	HeldMS  uint32         `cbor:"8,keyasint,omitempty"`
	Changes *delta.Changes `cbor:"9,keyasint,omitempty"`
	// Patch makes the newest document of the caller's one.
	Patch *documentPatch `cbor:"10,keyasint,omitempty"`
	// Complete is true if the control VM knows the runners of every data centre.
	Complete bool `cbor:"11,keyasint,omitempty"`
	// Evacuations are the evacuated data centres if they are newer than the caller's.
	Evacuations *evacuation.Table `cbor:"12,keyasint,omitempty"`

	legacyReply
}

// documentPatch makes the document of the version Version of the body of the
// version that the caller stated.
type documentPatch struct {
	Version uint64      `cbor:"1,keyasint"`
	Body    delta.Patch `cbor:"2,keyasint"`
}
