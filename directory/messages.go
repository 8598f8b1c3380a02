package directory

import "damaskbridge.example/damaskbridge/catalog"

// EntryVM is an entry VM that watches.
type EntryVM struct {
	// Addr is where other VMs call it.
	Addr   string `cbor:"1,keyasint"`
	Zone   string `cbor:"2,keyasint"`
	Region string `cbor:"3,keyasint"`
	// Draining says that it is stopping and takes no work of other VMs.
	Draining bool `cbor:"4,keyasint,omitempty"`
}

// watchCall asks for what is newer than the caller's knowledge. The answer
// comes at once if there is any, else after WaitMS.
type watchCall struct {
	From    EntryVM `cbor:"1,keyasint"`
	Version uint64  `cbor:"2,keyasint"`
	// ListSource and ListSeq name the runner list that the caller has.
	ListSource string `cbor:"3,keyasint,omitempty"`
	ListSeq    uint64 `cbor:"4,keyasint,omitempty"`
	WaitMS     uint32 `cbor:"5,keyasint"`
	// RosterTag names the list of entry VMs that the caller has, 0 for none.
	RosterTag uint64 `cbor:"6,keyasint,omitempty"`
}

// watchReply answers a watchCall.
type watchReply struct {
	// AgeMS is how old the control VM's knowledge may be; negative if it has
	// no touch with a leader.
	AgeMS    int64             `cbor:"1,keyasint"`
	Document *catalog.Document `cbor:"2,keyasint,omitempty"`
	List     *RunnerList       `cbor:"3,keyasint,omitempty"`
	// Controls are the addresses of the control VMs.
	Controls []string `cbor:"4,keyasint"`
	// RosterTag names the list of entry VMs; Entries is left out if the caller
	// has that list.
	RosterTag uint64    `cbor:"5,keyasint"`
	Entries   []EntryVM `cbor:"6,keyasint,omitempty"`
}

// rosterCall tells the leader the entry VMs that watch the caller.
type rosterCall struct {
	From    string    `cbor:"1,keyasint"`
	Entries []EntryVM `cbor:"2,keyasint"`
}

// rosterReply gives all entry VMs that the leader knows.
type rosterReply struct {
	Entries []EntryVM `cbor:"1,keyasint"`
}
