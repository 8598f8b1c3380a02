package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt. Parts are in order; requests share leading
// parts.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request says of its prompt.
type Prompt struct {
	Parts []Part
	// Tokens is the whole prompt, MaxOutput the most tokens to generate.
	Tokens    int
	MaxOutput int
}

// chains gives a hash for each leading run of parts, with its tokens. The last
// part belongs to the request or its session.
func (p *Prompt) chains() []chain {
	h := xxhash.New()
	list := make([]chain, 0, len(p.Parts))
	tokens := 0
	for _, part := range p.Parts {
		_, _ = h.WriteString(part.ID)
		_, _ = h.Write([]byte{0})
		tokens += part.Tokens
		list = append(list, chain{hash: h.Sum64(), tokens: tokens})
	}
	return list
}

type chain struct {
	hash   uint64
	tokens int
}

// Affinity is a hash of the longest run of parts that other requests share,
// 0 if there is none.
func (p *Prompt) Affinity() uint64 {
	list := p.chains()
	if len(list) < 2 {
		return 0
	}
	return list[len(list)-2].hash
}

// shared gives the leading tokens that other requests share.
func (p *Prompt) shared() int {
	list := p.chains()
	if len(list) < 2 {
		return 0
	}
	return list[len(list)-2].tokens
}

// keptFor is how long a part is taken to stay in a runner's memory after its
// last use.
const keptFor = 30 * time.Second
