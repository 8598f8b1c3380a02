package delta

import "fmt"

// Difference turns the set with the digest Base into the set with the digest
// Digest.
type Difference struct {
	Base    uint64   `cbor:"1,keyasint"`
	Digest  uint64   `cbor:"2,keyasint"`
	Added   [][]byte `cbor:"3,keyasint,omitempty"`
	Removed []uint64 `cbor:"4,keyasint,omitempty"` // hashes of the values
}

// MismatchError is returned if received content is not what its digest says. The
// receiver keeps its set; its next call states the digest of that set and
// thereby obtains what it lacks.
type MismatchError struct {
	Name      string
	Want, Got uint64
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("delta: set %q would have the digest %x instead of %x; the next call obtains it again", e.Name, e.Got, e.Want)
}

// apply returns the set that d makes of s, whose digest is d.Base.
func (d *Difference) apply(name string, s *Set) (*Set, error) {
	next := &Set{values: make(map[uint64][]byte, len(s.values)+len(d.Added)), digest: s.digest}
	for hash, value := range s.values {
		next.values[hash] = value
	}
	for _, hash := range d.Removed {
		next.remove(hash)
	}
	for _, value := range d.Added {
		next.add(value)
	}
	if next.digest != d.Digest {
		return nil, &MismatchError{Name: name, Want: d.Digest, Got: next.digest}
	}
	return next, nil
}
