package routing

import (
	"math"
	"time"
)

const (
	// predictedConfidence is the confidence in a block that the VM has sent to
	// the upstream and that no event has confirmed.
	predictedConfidence = 0.6
	// gapFactor multiplies the confidence in all blocks of an upstream for each
	// gap in its events: any of the blocks may have been evicted in between.
	gapFactor = 0.7
)

// prefixIndex estimates which prompt blocks are in one upstream's cache, from
// events that arrive late and with gaps and from the prompts sent.
type prefixIndex struct {
	blocks map[uint64]blockEstimate
	// order holds the hashes in order of insertion.
	order     []uint64
	maxBlocks int
	// decay is the time after which the confidence in a block falls to 1/e.
	decay   time.Duration
	lastSeq uint64
	// gapCount counts the gaps in the events.
	gapCount uint32
}

// blockEstimate is the estimate for one block.
type blockEstimate struct {
	updatedAt  time.Time
	confidence float32
	// gapCount is that of the index at the last update.
	gapCount uint32
}

func newPrefixIndex(maxBlocks int, decay time.Duration) *prefixIndex {
	return &prefixIndex{blocks: map[uint64]blockEstimate{}, maxBlocks: maxBlocks, decay: decay}
}

// apply updates the index by cache events. Events with a sequence number that is
// not above the last one are ignored.
func (p *prefixIndex) apply(events []CacheEvent) {
	for _, e := range events {
		if e.Seq <= p.lastSeq {
			continue
		}
		if p.lastSeq != 0 && e.Seq != p.lastSeq+1 {
			p.gapCount++
		}
		p.lastSeq = e.Seq
		if e.Stored {
			p.put(e.Prefix, blockEstimate{updatedAt: e.At, confidence: 1, gapCount: p.gapCount})
		} else {
			delete(p.blocks, e.Prefix)
		}
	}
}

// predict records the blocks of a prompt that was sent to the upstream.
func (p *prefixIndex) predict(prefix []uint64, now time.Time) {
	for _, hash := range prefix {
		if b, ok := p.blocks[hash]; ok && b.confidence > predictedConfidence {
			b.updatedAt = now
			p.blocks[hash] = b
			continue
		}
		p.put(hash, blockEstimate{updatedAt: now, confidence: predictedConfidence, gapCount: p.gapCount})
	}
}

// put sets the estimate of a block. It keeps at most maxBlocks blocks and removes
// the oldest insertions first.
func (p *prefixIndex) put(hash uint64, b blockEstimate) {
	if _, known := p.blocks[hash]; !known {
		p.order = append(p.order, hash)
	}
	p.blocks[hash] = b
	for len(p.blocks) > p.maxBlocks || len(p.order) > 2*p.maxBlocks {
		delete(p.blocks, p.order[0])
		p.order = p.order[1:]
	}
}

// expectedMatch returns the expected number of leading blocks of the prompt that
// are cached. Each hash covers all blocks before it, so the match ends at the
// first unknown block.
func (p *prefixIndex) expectedMatch(prefix []uint64, now time.Time) float64 {
	expected := 0.0
	confidence := 1.0
	for _, hash := range prefix {
		b, ok := p.blocks[hash]
		if !ok {
			return expected
		}
		confidence = min(confidence, p.confidence(b, now))
		expected += confidence
	}
	return expected
}

// confidence returns the confidence in a block, reduced by its age and by the gaps
// since its last update.
func (p *prefixIndex) confidence(b blockEstimate, now time.Time) float64 {
	age := max(0, now.Sub(b.updatedAt))
	c := float64(b.confidence) * math.Exp(-float64(age)/float64(p.decay))
	if gaps := p.gapCount - b.gapCount; gaps > 0 {
		c *= math.Pow(gapFactor, float64(gaps))
	}
	return c
}
