package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Weight gives the weight of a name for a key. Those who choose the name with
// the highest weight agree, and a name that leaves moves only its own keys.
func Weight(key uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(name)
	return h.Sum64()
}

// Highest gives the name with the highest weight for a key, "" if there is
// none.
func Highest(key string, names []string) string {
	hash := xxhash.Sum64String(key)
	best, weight := "", uint64(0)
	for _, n := range names {
		if w := Weight(hash, n); best == "" || w > weight {
			best, weight = n, w
		}
	}
	return best
}
