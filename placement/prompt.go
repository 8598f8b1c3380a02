package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is one segment of a prompt. Parts are ordered, and requests may share
// leading parts.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request.
type Prompt struct {
	Parts []Part
	// Tokens is the length of the whole prompt, MaxOutput the maximum number of
	// tokens to generate.
	Tokens    int
	MaxOutput int
}

// prefixes returns the hash and the token count of each leading run of parts.
// The last part is specific to the request or its session and is not shared.
func (p *Prompt) prefixes() []prefix {
	h := xxhash.New()
	list := make([]prefix, 0, len(p.Parts))
	tokens := 0
	for _, part := range p.Parts {
		_, _ = h.WriteString(part.ID)
		_, _ = h.Write([]byte{0})
		tokens += part.Tokens
		list = append(list, prefix{hash: h.Sum64(), tokens: tokens})
	}
	return list
}

type prefix struct {
	hash   uint64
	tokens int
}

// SharedIDs returns the IDs of the parts that other requests can share.
func (p *Prompt) SharedIDs() []string {
	var ids []string
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// Affinity returns the hash of the longest prefix that other requests can
// share, or 0 if there is none.
func (p *Prompt) Affinity() uint64 {
	list := p.prefixes()
	if len(list) < 2 {
		return 0
	}
	return list[len(list)-2].hash
}

// sharedTokens returns the length of the longest prefix that other requests can
// share.
func (p *Prompt) sharedTokens() int {
	list := p.prefixes()
	if len(list) < 2 {
		return 0
	}
	return list[len(list)-2].tokens
}

// prefixTTL is how long a prefix is assumed to stay in a runner's cache after
// its last use.
const prefixTTL = 30 * time.Second
