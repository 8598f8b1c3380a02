package directory

// Runner is one upstream process of a service, as the platform lists it.
type Runner struct {
	// ID names this start of the process in most cases.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Addr is "ip:port".
	Addr string `cbor:"3,keyasint"`
	// Zone is the data centre.
	Zone string `cbor:"4,keyasint"`
	// Slots is how many requests it works on at a time.
	Slots int `cbor:"5,keyasint"`
	// Draining says that it is leaving and takes no new work.
	Draining bool `cbor:"6,keyasint,omitempty"`
	// ColdMS is how much longer it stays slow after its start, in ms.
	ColdMS int64 `cbor:"7,keyasint,omitempty"`
	// BornUnixMS is the time of its start in ms since 1970, 0 if not told. A
	// runner that starts again under its ID holds nothing of before.
	BornUnixMS int64 `cbor:"8,keyasint,omitempty"`
}

// RunnerList is one reading of the platform's list. It is immutable.
type RunnerList struct {
	// Source is the control VM that has read it, Seq grows with each change
	// that it saw.
	Source  string   `cbor:"1,keyasint"`
	Seq     uint64   `cbor:"2,keyasint"`
	Runners []Runner `cbor:"3,keyasint"`
}
