package routing

import (
	"math"
	"time"
)

const (
	// predictedConfidence is the confidence in a block that the VM itself has
	// sent to the upstream and that no event has confirmed.
	predictedConfidence = 0.6
	// gapConfidence multiplies the confidence in all blocks of an upstream when
	// events are missing: any of them may have been evicted.
	gapConfidence = 0.7
)

// prefixCache is an estimate of the prompt blocks in one upstream's cache,
// from events that arrive late and with gaps.
type prefixCache struct {
	blocks map[uint64]block
	order  []uint64
	limit  int
	life   time.Duration
	seq    uint64
	// epoch counts the gaps; a block loses confidence with each later gap.
	epoch uint32
}

type block struct {
	at         time.Time
	confidence float32
	epoch      uint32
}

func newPrefixCache(limit int, life time.Duration) *prefixCache {
	return &prefixCache{blocks: map[uint64]block{}, limit: limit, life: life}
}

// apply takes events in any order of arrival; old numbers are ignored.
func (p *prefixCache) apply(events []CacheEvent) {
	for _, e := range events {
		if e.Seq <= p.seq {
			continue
		}
		if p.seq != 0 && e.Seq != p.seq+1 {
			p.epoch++
		}
		p.seq = e.Seq
		if e.Stored {
			p.put(e.Prefix, block{at: e.At, confidence: 1, epoch: p.epoch})
		} else {
			delete(p.blocks, e.Prefix)
		}
	}
}

// predict notes the blocks of a prompt that was sent to the upstream.
func (p *prefixCache) predict(prefix []uint64, now time.Time) {
	for _, hash := range prefix {
		if b, ok := p.blocks[hash]; ok && b.confidence > predictedConfidence {
			b.at = now
			p.blocks[hash] = b
			continue
		}
		p.put(hash, block{at: now, confidence: predictedConfidence, epoch: p.epoch})
	}
}

// put keeps at most limit blocks and drops the oldest insertions first.
func (p *prefixCache) put(hash uint64, b block) {
	if _, known := p.blocks[hash]; !known {
		p.order = append(p.order, hash)
	}
	p.blocks[hash] = b
	for len(p.blocks) > p.limit || len(p.order) > 2*p.limit {
		delete(p.blocks, p.order[0])
		p.order = p.order[1:]
	}
}

// match gives the expected number of leading blocks that are cached. Each hash
// covers the blocks before it, so the chain ends at the first unknown one.
func (p *prefixCache) match(prefix []uint64, now time.Time) float64 {
	expected := 0.0
	chain := 1.0
	for _, hash := range prefix {
		b, ok := p.blocks[hash]
		if !ok {
			return expected
		}
		chain = min(chain, p.confidence(b, now))
		expected += chain
	}
	return expected
}

func (p *prefixCache) confidence(b block, now time.Time) float64 {
	age := max(0, now.Sub(b.at))
	c := float64(b.confidence) * math.Exp(-float64(age)/float64(p.life))
	if gaps := p.epoch - b.epoch; gaps > 0 {
		c *= math.Pow(gapConfidence, float64(gaps))
	}
	return c
}
