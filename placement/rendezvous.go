package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RendezvousWeight returns the rendezvous weight of a name for a key. All
// callers that choose the name with the highest weight agree, and removing a
// name moves only the keys that were assigned to it.
func RendezvousWeight(key uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(name)
	return h.Sum64()
}

// PickRendezvous returns the name with the highest weight for a key, or "" if
// names is empty.
func PickRendezvous(key string, names []string) string {
	hash := xxhash.Sum64String(key)
	best, bestWeight := "", uint64(0)
	for _, n := range names {
		if w := RendezvousWeight(hash, n); best == "" || w > bestWeight {
			best, bestWeight = n, w
		}
	}
	return best
}

// TopRendezvous returns the n names with the highest weights for a key, or all names
// if there are fewer.
func TopRendezvous(key string, names []string, n int) []string {
	hash := xxhash.Sum64String(key)
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Compare(RendezvousWeight(hash, b), RendezvousWeight(hash, a))
	})
	return sorted[:max(min(n, len(sorted)), 0)]
}
