package content

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the simulated size of a prompt token.
	BytesPerToken = 4
	// BlockTokens is the number of prompt tokens in one block of the prefix
	// cache.
	BlockTokens = 16
	// BlockBytes is the size of a block of the prefix cache in bytes.
	BlockBytes = BlockTokens * BytesPerToken
)

// Prompt returns the text over which the prefix cache works. Roles and contents
// are separated by NUL bytes.
func Prompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte(0)
		b.WriteString(m.Content)
		b.WriteByte(0)
	}
	return b.String()
}

// PromptTokens returns the number of tokens of a prompt, at least 1.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+BytesPerToken-1)/BytesPerToken)
}

// PrefixChain returns the hash of each full block of the prompt. Each hash is
// xxhash64 over the previous hash (8 bytes, big-endian; absent for the first
// block) and the block's bytes, so it names the whole prefix up to its block.
func PrefixChain(prompt string) []uint64 {
	chain := make([]uint64, 0, len(prompt)/BlockBytes)
	buf := make([]byte, 0, BlockBytes+8)
	for len(prompt) >= BlockBytes {
		buf = buf[:0]
		if len(chain) > 0 {
			buf = binary.BigEndian.AppendUint64(buf, chain[len(chain)-1])
		}
		buf = append(buf, prompt[:BlockBytes]...)
		chain = append(chain, xxhash.Sum64(buf))
		prompt = prompt[BlockBytes:]
	}
	return chain
}
