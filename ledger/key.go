package ledger

import (
	"crypto/sha256"
	"encoding/binary"

	"damaskbridge.example/damaskbridge/ids"
	"github.com/cespare/xxhash/v2"
)

// keyID identifies a key of a workspace. It is the first half of a SHA-256
// digest: with 128 bits, accidental collisions are negligible, and a workspace
// cannot feasibly construct a collision with another workspace's key.
type keyID [16]byte

func newKeyID(workspace, key string) keyID {
	b := make([]byte, 0, binary.MaxVarintLen64+len(workspace)+len(key))
	b = binary.AppendUvarint(b, uint64(len(workspace)))
	b = append(b, workspace...)
	b = append(b, key...)
	sum := sha256.Sum256(b)
	return keyID(sum[:16])
}

// GroupOf returns the group that holds a key, from group 1 to the number of
// groups.
func GroupOf(workspace, key string, groups uint32) ids.GroupID {
	if groups <= 1 {
		return ids.SettingsGroup
	}
	d := xxhash.New()
	// Writes to an xxhash digest never fail.
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return ids.SettingsGroup + ids.GroupID(d.Sum64()%uint64(groups))
}

// noTimestamp is the timestamp of a key that is not a UUIDv7.
const noTimestamp = -1

// uuidTimestamp returns the timestamp of a UUIDv7 key as a Unix time in
// milliseconds, or noTimestamp for a key in any other format.
func uuidTimestamp(key string) int64 {
	const layout = "xxxxxxxx-xxxx-7xxx-vxxx-xxxxxxxxxxxx"
	if len(key) != len(layout) {
		return noTimestamp
	}
	var ms int64
	for i := range len(layout) {
		digit, ok := hexDigit(key[i])
		switch {
		case layout[i] == '-':
			ok = key[i] == '-'
		case layout[i] == '7':
			ok = key[i] == '7'
		case layout[i] == 'v':
			ok = ok && digit>>2 == 0b10
		case i < len("xxxxxxxx-xxxx"):
			ms = ms<<4 | digit
		}
		if !ok {
			return noTimestamp
		}
	}
	return ms
}

func hexDigit(c byte) (int64, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
