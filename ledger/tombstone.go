package ledger

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
)

const (
	// tombstoneBytes is the size of one tombstone: a key ID and a flag byte,
	// which is 1 if an answer had been recorded.
	tombstoneBytes = len(keyID{}) + 1
	// tombstoneBuckets is the number of buckets, selected by the first two
	// bytes of the key ID. With ten million tombstones an insertion copies
	// about 2.6 KB.
	tombstoneBuckets = 1 << 16
)

// tombstones is an add-only set of used keys. Each bucket is a sorted, immutable
// sequence of tombstones, so that copying the set copies only the slice headers
// of the buckets.
type tombstones struct {
	buckets [][]byte // nil until the first insertion
	count   int
}

// lookup reports whether the key is in the set and whether an answer had been
// recorded for it.
func (t *tombstones) lookup(id keyID) (recorded, ok bool) {
	if t.buckets == nil {
		return false, false
	}
	b := t.buckets[bucketIndex(id)]
	i, ok := searchBucket(b, id)
	return ok && b[i+len(id)] == 1, ok
}

// add inserts a key. A key that is already in the set is left unchanged.
func (t *tombstones) add(id keyID, recorded bool) {
	if t.buckets == nil {
		t.buckets = make([][]byte, tombstoneBuckets)
	}
	old := t.buckets[bucketIndex(id)]
	i, ok := searchBucket(old, id)
	if ok {
		return
	}
	b := make([]byte, 0, len(old)+tombstoneBytes)
	b = append(b, old[:i]...)
	b = appendTombstone(b, id, recorded)
	b = append(b, old[i:]...)
	t.buckets[bucketIndex(id)] = b
	t.count++
}

func (t *tombstones) clone() tombstones {
	return tombstones{buckets: slices.Clone(t.buckets), count: t.count}
}

// appendTo appends all tombstones to b in ascending order of their key IDs.
func (t *tombstones) appendTo(b []byte) []byte {
	for _, bucket := range t.buckets {
		b = append(b, bucket...)
	}
	return b
}

// decodeTombstones decodes the output of appendTo.
func decodeTombstones(b []byte) (tombstones, error) {
	t := tombstones{count: len(b) / tombstoneBytes}
	if len(b)%tombstoneBytes != 0 {
		return t, fmt.Errorf("%d bytes are not a whole number of tombstones", len(b))
	}
	if len(b) == 0 {
		return t, nil
	}
	t.buckets = make([][]byte, tombstoneBuckets)
	for len(b) > 0 {
		n, err := checkBucket(b)
		if err != nil {
			return t, err
		}
		t.buckets[bucketIndex(keyID(b[:16]))] = slices.Clone(b[:n])
		b = b[n:]
	}
	return t, nil
}

// checkBucket validates the first bucket in b and returns its length in bytes.
func checkBucket(b []byte) (int, error) {
	bucket := bucketIndex(keyID(b[:16]))
	n := 0
	for n < len(b) {
		id := keyID(b[n : n+16])
		if b[n+16] > 1 {
			return 0, fmt.Errorf("tombstone has invalid flag %d", b[n+16])
		}
		if n > 0 && bytes.Compare(b[n-tombstoneBytes:n-1], id[:]) >= 0 {
			return 0, fmt.Errorf("tombstones are out of order")
		}
		if bucketIndex(id) != bucket {
			return n, nil
		}
		n += tombstoneBytes
	}
	return n, nil
}

func appendTombstone(b []byte, id keyID, recorded bool) []byte {
	b = append(b, id[:]...)
	if recorded {
		return append(b, 1)
	}
	return append(b, 0)
}

func bucketIndex(id keyID) int { return int(binary.BigEndian.Uint16(id[:2])) }

// searchBucket returns the byte offset of id in b, or the offset at which to
// insert it.
func searchBucket(b []byte, id keyID) (offset int, ok bool) {
	low, high := 0, len(b)/tombstoneBytes
	for low < high {
		mid := (low + high) / 2
		c := bytes.Compare(b[mid*tombstoneBytes:mid*tombstoneBytes+len(id)], id[:])
		if c == 0 {
			return mid * tombstoneBytes, true
		}
		if c < 0 {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low * tombstoneBytes, false
}
