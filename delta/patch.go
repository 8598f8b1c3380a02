package delta

import "github.com/cespare/xxhash/v2"

// Patch turns the base with which it was made into its target.
type Patch struct {
	// Digest is the xxhash of the target.
	Digest uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// NewPatch returns a patch from base to target: the target compressed with the
// base as the dictionary.
func NewPatch(base, target []byte) (*Patch, error) {
	data, err := compress(base, target)
	if err != nil {
		return nil, err
	}
	return &Patch{Digest: xxhash.Sum64(target), Data: data}, nil
}

// Apply returns the target. It returns a MismatchError if base is not the one
// that the patch was made with.
func (p *Patch) Apply(base []byte) ([]byte, error) {
	target, err := decompress(base, p.Data)
	if err != nil {
		return nil, err
	}
	if digest := xxhash.Sum64(target); digest != p.Digest {
		return nil, &MismatchError{Name: "patch", Want: p.Digest, Got: digest}
	}
	return target, nil
}
