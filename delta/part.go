package delta

import (
	"slices"
	"time"
)

// maxHistory is the number of changes of one set that a sender can describe as
// a difference.
const maxHistory = 128

// step is one change in a set's history.
type step struct {
	// base is the digest before the change. hashes are those of the values that
	// were added or removed.
	base   uint64
	hashes []uint64
}

// part is a named set with the history of its changes at this VM.
type part struct {
	set *Set
	// asOf is when the content was known to be current at its origin.
	asOf    time.Time
	history []step
	// whole is the compressed set, nil until it is first needed.
	whole []byte
}

// replace makes s the part's set.
func (p *part) replace(s *Set) {
	p.history = append(p.history, step{base: p.set.digest, hashes: touched(p.set, s)})
	if len(p.history) > maxHistory {
		p.history = slices.Delete(p.history, 0, len(p.history)-maxHistory)
	}
	p.set, p.whole = s, nil
}

// differenceFrom returns the difference from the state with the digest base, or
// nil if the set has not been in that state within its history. A value that
// changed and changed back is included, which does no harm in a set.
func (p *part) differenceFrom(base uint64) *Difference {
	first := -1
	for i := len(p.history) - 1; i >= 0; i-- {
		if p.history[i].base == base {
			first = i
			break
		}
	}
	if first < 0 {
		return nil
	}
	d := &Difference{Base: base, Digest: p.set.digest}
	seen := map[uint64]bool{}
	for _, s := range p.history[first:] {
		for _, hash := range s.hashes {
			if seen[hash] {
				continue
			}
			seen[hash] = true
			if value, ok := p.set.values[hash]; ok {
				d.Added = append(d.Added, value)
			} else {
				d.Removed = append(d.Removed, hash)
			}
		}
	}
	return d
}
