package upstream

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// prefixBlockBytes is the size of a block of the engines' prefix caches: 16
// tokens of 4 bytes.
const prefixBlockBytes = 64

// PrefixChain returns the hash of each full block of a prompt, as used in the
// engines' cache events. Each hash covers all blocks before it, so one hash
// identifies a whole prefix.
func PrefixChain(messages []Message) []uint64 {
	prompt := promptText(messages)
	chain := make([]uint64, 0, len(prompt)/prefixBlockBytes)
	buf := make([]byte, 0, prefixBlockBytes+8)
	for len(prompt) >= prefixBlockBytes {
		buf = buf[:0]
		if len(chain) > 0 {
			buf = binary.BigEndian.AppendUint64(buf, chain[len(chain)-1])
		}
		buf = append(buf, prompt[:prefixBlockBytes]...)
		chain = append(chain, xxhash.Sum64(buf))
		prompt = prompt[prefixBlockBytes:]
	}
	return chain
}

// promptText returns the text that the prefix caches hash: roles and contents,
// each followed by a NUL byte.
func promptText(messages []Message) []byte {
	var b []byte
	for _, m := range messages {
		b = append(b, m.Role...)
		b = append(b, 0)
		b = append(b, m.Content...)
		b = append(b, 0)
	}
	return b
}
