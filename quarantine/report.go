package quarantine

import "slices"

// Report is what an entry VM has observed within the evidence window.
type Report struct {
	Crashes []Crash `cbor:"1,keyasint,omitempty"`
	// Answered are parts that are or were quarantined although this VM has had an
	// answer with them.
	Answered []Part `cbor:"2,keyasint,omitempty"`
	// Quarantined are the parts that are quarantined at this VM, from which a
	// control VM learns them that knows of none.
	Quarantined []Quarantined `cbor:"3,keyasint,omitempty"`
}

// Crash is the loss of one runner with requests in flight.
type Crash struct {
	// Runner identifies one start of the runner.
	Runner string `cbor:"1,keyasint"`
	// Parts are those of the lost requests without a recent answer, sorted.
	Parts []Part `cbor:"2,keyasint"`
}

// IsEmpty reports whether there is nothing to report.
func (r *Report) IsEmpty() bool {
	return r == nil || len(r.Crashes) == 0 && len(r.Answered) == 0 && len(r.Quarantined) == 0
}

// Equal reports whether two reports have the same content.
func (r *Report) Equal(other *Report) bool {
	if r.IsEmpty() || other.IsEmpty() {
		return r.IsEmpty() == other.IsEmpty()
	}
	sameCrash := func(a, b Crash) bool { return a.Runner == b.Runner && slices.Equal(a.Parts, b.Parts) }
	return slices.EqualFunc(r.Crashes, other.Crashes, sameCrash) && slices.Equal(r.Answered, other.Answered) &&
		slices.Equal(r.Quarantined, other.Quarantined)
}
