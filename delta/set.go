package delta

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Set is an immutable set of encoded values.
type Set struct {
	values map[uint64][]byte // by hash
	digest uint64
}

// NewSet returns a set of the values, which must not be modified afterwards.
func NewSet(values [][]byte) *Set {
	s := &Set{values: make(map[uint64][]byte, len(values))}
	for _, v := range values {
		s.add(v)
	}
	return s
}

func (s *Set) add(value []byte) {
	hash := xxhash.Sum64(value)
	if _, ok := s.values[hash]; !ok {
		s.values[hash] = value
		s.digest += hash
	}
}

func (s *Set) remove(hash uint64) {
	if _, ok := s.values[hash]; ok {
		delete(s.values, hash)
		s.digest -= hash
	}
}

// Digest identifies the content. It does not depend on the order in which the
// values were added. The digest of an empty set is 0.
func (s *Set) Digest() uint64 { return s.digest }

// Len returns the number of values.
func (s *Set) Len() int { return len(s.values) }

// Values returns the values in ascending order of their bytes.
func (s *Set) Values() [][]byte {
	list := make([][]byte, 0, len(s.values))
	for _, v := range s.values {
		list = append(list, v)
	}
	slices.SortFunc(list, bytes.Compare)
	return list
}

// touched returns the hashes of the values that are in only one of two sets.
func touched(a, b *Set) []uint64 {
	var list []uint64
	for hash := range a.values {
		if _, ok := b.values[hash]; !ok {
			list = append(list, hash)
		}
	}
	for hash := range b.values {
		if _, ok := a.values[hash]; !ok {
			list = append(list, hash)
		}
	}
	return list
}
