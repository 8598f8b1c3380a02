package ledger

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
)

const (
	// tombstoneBytes is the size of one tombstone: a key id, and 1 if an
	// answer had been recorded.
	tombstoneBytes = len(keyID{}) + 1
	// tombstoneBuckets is the number of buckets, by the first two bytes of
	// the id. At ten million tombstones an insertion copies about 2.6 KB.
	tombstoneBuckets = 1 << 16
)

// tombstones is a set of used keys that is only ever added to. Each bucket is
// a sorted, immutable string of tombstones, so that a copy of the set is a
// copy of the bucket headers.
type tombstones struct {
	buckets [][]byte // nil until the first insertion
	count   int
}

// find says whether the key is in the set and whether it ran.
func (t *tombstones) find(id keyID) (ran, ok bool) {
	if t.buckets == nil {
		return false, false
	}
	b := t.buckets[bucketOf(id)]
	i, ok := searchBucket(b, id)
	return ok && b[i+len(id)] == 1, ok
}

// add enters a key that is not in the set.
func (t *tombstones) add(id keyID, ran bool) {
	if t.buckets == nil {
		t.buckets = make([][]byte, tombstoneBuckets)
	}
	old := t.buckets[bucketOf(id)]
	i, ok := searchBucket(old, id)
	if ok {
		return
	}
	b := make([]byte, 0, len(old)+tombstoneBytes)
	b = append(b, old[:i]...)
	b = appendTombstone(b, id, ran)
	b = append(b, old[i:]...)
	t.buckets[bucketOf(id)] = b
	t.count++
}

func (t *tombstones) clone() tombstones {
	return tombstones{buckets: slices.Clone(t.buckets), count: t.count}
}

// appendTo writes all tombstones in ascending order of their ids.
func (t *tombstones) appendTo(b []byte) []byte {
	for _, bucket := range t.buckets {
		b = append(b, bucket...)
	}
	return b
}

// loadTombstones reads what appendTo wrote.
func loadTombstones(b []byte) (tombstones, error) {
	t := tombstones{count: len(b) / tombstoneBytes}
	if len(b)%tombstoneBytes != 0 {
		return t, fmt.Errorf("%d bytes are no whole number of tombstones", len(b))
	}
	if len(b) == 0 {
		return t, nil
	}
	t.buckets = make([][]byte, tombstoneBuckets)
	for len(b) > 0 {
		n, err := bucketEnd(b)
		if err != nil {
			return t, err
		}
		t.buckets[bucketOf(keyID(b[:16]))] = slices.Clone(b[:n])
		b = b[n:]
	}
	return t, nil
}

// bucketEnd gives the length of the first bucket in b and checks its order.
func bucketEnd(b []byte) (int, error) {
	bucket := bucketOf(keyID(b[:16]))
	n := 0
	for n < len(b) {
		id := keyID(b[n : n+16])
		if b[n+16] > 1 {
			return 0, fmt.Errorf("tombstone has flag %d", b[n+16])
		}
		if n > 0 && bytes.Compare(b[n-tombstoneBytes:n-1], id[:]) >= 0 {
			return 0, fmt.Errorf("tombstones are out of order")
		}
		if bucketOf(id) != bucket {
			return n, nil
		}
		n += tombstoneBytes
	}
	return n, nil
}

func appendTombstone(b []byte, id keyID, ran bool) []byte {
	b = append(b, id[:]...)
	if ran {
		return append(b, 1)
	}
	return append(b, 0)
}

func bucketOf(id keyID) int { return int(binary.BigEndian.Uint16(id[:2])) }

// searchBucket gives the offset of id in b, or the offset to insert it at.
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
