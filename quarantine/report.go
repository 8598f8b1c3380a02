package quarantine

import (
	"cmp"
	"maps"
	"slices"
)

// Report is what an entry VM has observed within the evidence window.
type Report struct {
	Crashes []Crash `cbor:"1,keyasint,omitempty"`
	// Answered are parts that are or were quarantined although this VM has had an
	// answer with them.
	Answered []Part `cbor:"2,keyasint,omitempty"`
	// Quarantined are the parts that are quarantined at this VM, from which a
	// control VM learns them that knows of none.
	Quarantined []Quarantined `cbor:"3,keyasint,omitempty"`
	// Withdrawn are processes that this VM has taken for lost and that go on, sorted. They
	// matter only while parts are quarantined.
	Withdrawn []string `cbor:"4,keyasint,omitempty"`
}

// Crash is the loss of one runner with requests in flight.
type Crash struct {
	// Runner identifies one start of the runner.
	Runner string `cbor:"1,keyasint"`
	// Parts are those of the lost requests without a recent answer, sorted.
	Parts []Part `cbor:"2,keyasint"`
	// Sharing holds, for each of Parts, how many binary digits the number of this VM's
	// recent requests with it has. VMs of earlier releases send none.
	Sharing []uint8 `cbor:"3,keyasint,omitempty"`
	// Doubtful is true if the runner has answered since on a new connection and the list
	// has not shown yet whether it has started again.
	Doubtful bool `cbor:"4,keyasint,omitempty"`
}

// maxReportedParts bounds the parts of all crashes of a report together. A prompt whose
// head has 16 KiB has fewer, unless its IDs are very short.
const maxReportedParts = 2048

// limitParts returns the crashes with maxReportedParts parts at most: those that were
// lost with the most runners, and among these the same ones at every entry VM.
func limitParts(crashes []Crash) []Crash {
	runners := map[Part]int{}
	total := 0
	for _, c := range crashes {
		total += len(c.Parts)
		for _, p := range c.Parts {
			runners[p]++
		}
	}
	if total <= maxReportedParts {
		return crashes
	}
	kept := Set{}
	left := maxReportedParts
	for _, p := range byRunners(runners) {
		if left -= runners[p]; left < 0 {
			break
		}
		kept[p] = true
	}
	var limited []Crash
	for _, c := range crashes {
		c.Parts = slices.DeleteFunc(c.Parts, func(p Part) bool { return !kept[p] })
		if len(c.Parts) > 0 {
			limited = append(limited, c)
		}
	}
	return limited
}

// byRunners returns the parts by the number of runners that were lost with them, the
// most first.
func byRunners(runners map[Part]int) []Part {
	return slices.SortedFunc(maps.Keys(runners), func(a, b Part) int {
		return cmp.Or(cmp.Compare(runners[b], runners[a]), cmp.Compare(a, b))
	})
}

// IsEmpty reports whether there is nothing to report.
func (r *Report) IsEmpty() bool {
	return r == nil || len(r.Crashes) == 0 && len(r.Answered) == 0 && len(r.Quarantined) == 0 && len(r.Withdrawn) == 0
}

// Equal reports whether two reports have the same content, but for Sharing: a count that
// has grown is no news.
func (r *Report) Equal(other *Report) bool {
	if r.IsEmpty() || other.IsEmpty() {
		return r.IsEmpty() == other.IsEmpty()
	}
	sameCrash := func(a, b Crash) bool {
		return a.Runner == b.Runner && a.Doubtful == b.Doubtful && slices.Equal(a.Parts, b.Parts)
	}
	return slices.EqualFunc(r.Crashes, other.Crashes, sameCrash) && slices.Equal(r.Answered, other.Answered) &&
		slices.Equal(r.Quarantined, other.Quarantined) && slices.Equal(r.Withdrawn, other.Withdrawn)
}
