package ledger

import (
	"crypto/sha256"
	"encoding/binary"

	"damaskbridge.example/damaskbridge/ids"
	"github.com/cespare/xxhash/v2"
)

// keyID identifies a key of a workspace: the first half of a SHA-256 digest.
// At 128 bits an accidental collision is not to be expected, and a workspace
// cannot construct one with another workspace's key within practical work.
type keyID [16]byte

func idOf(workspace, key string) keyID {
	b := make([]byte, 0, binary.MaxVarintLen64+len(workspace)+len(key))
	b = binary.AppendUvarint(b, uint64(len(workspace)))
	b = append(b, workspace...)
	b = append(b, key...)
	sum := sha256.Sum256(b)
	return keyID(sum[:16])
}

// GroupOf gives the group that holds a key: group 1 up to the number of groups.
func GroupOf(workspace, key string, groups uint32) ids.GroupID {
	if groups <= 1 {
		return ids.SettingsGroup
	}
	d := xxhash.New()
	// Writing to a digest cannot fail.
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return ids.SettingsGroup + ids.GroupID(d.Sum64()%uint64(groups))
}

// noTime is the embedded time of a key that is not a UUIDv7.
const noTime = -1

// embeddedTime gives the creation time in a UUIDv7 key, in milliseconds since
// 1970, or noTime for a key in any other form.
func embeddedTime(key string) int64 {
	const form = "xxxxxxxx-xxxx-7xxx-vxxx-xxxxxxxxxxxx"
	if len(key) != len(form) {
		return noTime
	}
	var ms int64
	for i := range len(form) {
		digit, ok := hexDigit(key[i])
		switch {
		case form[i] == '-':
			ok = key[i] == '-'
		case form[i] == '7':
			ok = key[i] == '7'
		case form[i] == 'v':
			ok = ok && digit>>2 == 0b10
		case i < len("xxxxxxxx-xxxx"):
			ms = ms<<4 | digit
		}
		if !ok {
			return noTime
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
