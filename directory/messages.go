package directory

import "damaskbridge.example/damaskbridge/catalog"

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
// sent at once if the document or the runner list is newer, and otherwise at
// the next change of one of them or after WaitMS.
type watchCall struct {
	From    EntryVM `cbor:"1,keyasint"`
	Version uint64  `cbor:"2,keyasint"`
	// ListSource and ListSeq identify the runner list that the caller has.
	ListSource string `cbor:"3,keyasint,omitempty"`
	ListSeq    uint64 `cbor:"4,keyasint,omitempty"`
	WaitMS     uint32 `cbor:"5,keyasint"`
	// RosterTag identifies the list of entry VMs that the caller has, 0 for none.
	RosterTag uint64 `cbor:"6,keyasint,omitempty"`
}

// watchReply answers a watchCall.
type watchReply struct {
	// AgeMS is the maximum age of the control VM's state, negative if it has no
	// contact with a leader.
	AgeMS    int64             `cbor:"1,keyasint"`
	Document *catalog.Document `cbor:"2,keyasint,omitempty"`
	List     *RunnerList       `cbor:"3,keyasint,omitempty"`
	// Controls are the addresses of the control VMs.
	Controls []string `cbor:"4,keyasint"`
	// RosterTag identifies the list of entry VMs. Entries is omitted if the
	// caller already has that list.
	RosterTag uint64    `cbor:"5,keyasint"`
	Entries   []EntryVM `cbor:"6,keyasint,omitempty"`
}

// rosterCall reports to the leader the entry VMs that watch the caller.
type rosterCall struct {
	From    string    `cbor:"1,keyasint"`
	Entries []EntryVM `cbor:"2,keyasint"`
}

// rosterReply holds all entry VMs that the leader knows.
type rosterReply struct {
	Entries []EntryVM `cbor:"1,keyasint"`
}
