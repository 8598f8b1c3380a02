package standin

import (
	"container/list"
	"strconv"
	"time"
)

// CacheEvent is one entry of GET /cache/events.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Prefix is the hex hash of a block, from content.PrefixChain.
	Prefix   string `json:"prefix"`
	AtUnixMS int64  `json:"at_unix_ms"`
}

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// maxCacheEvents bounds the events kept for readers.
const maxCacheEvents = 65536

// cachedBlock is a block in the cache. Parent is 0 for a first block.
type cachedBlock struct {
	hash   uint64
	parent uint64
}

// prefixCache is a cache of prompt blocks with least-recently-used eviction.
// It is not safe for concurrent use.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	recent   *list.List // of *cachedBlock, most recent first
	seq      uint64
	gap      uint64
	events   []CacheEvent
}

func newPrefixCache(capacity, gap int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		gap:      uint64(gap),
		blocks:   map[uint64]*list.Element{},
		recent:   list.New(),
	}
}

// match returns the number of leading blocks of the chain that are cached.
func (c *prefixCache) match(chain []uint64) int {
	for i, h := range chain {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(chain)
}

// store adds the chain's blocks as the most recent ones. The first block is
// touched last, so that a chain is evicted from its end.
func (c *prefixCache) store(chain []uint64, at time.Time) {
	chain = chain[:min(len(chain), c.capacity)]
	for i := len(chain) - 1; i >= 0; i-- {
		if e, ok := c.blocks[chain[i]]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		var parent uint64
		if i > 0 {
			parent = chain[i-1]
		}
		c.blocks[chain[i]] = c.recent.PushFront(&cachedBlock{hash: chain[i], parent: parent})
		c.event(CacheStored, chain[i], at)
	}
	for c.recent.Len() > c.capacity {
		c.evict(at)
	}
}

func (c *prefixCache) evict(at time.Time) {
	e := c.recent.Back()
	b := c.recent.Remove(e).(*cachedBlock)
	delete(c.blocks, b.hash)
	c.event(CacheEvicted, b.hash, at)
}

// event records an event. A dropped one leaves a gap in the sequence numbers.
func (c *prefixCache) event(kind string, hash uint64, at time.Time) {
	c.seq++
	if c.gap > 0 && c.seq%c.gap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{
		Seq:      c.seq,
		Kind:     kind,
		Prefix:   formatPrefix(hash),
		AtUnixMS: at.UnixMilli(),
	})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent{}, c.events[maxCacheEvents/2:]...)
	}
}

// clear drops all blocks without events.
func (c *prefixCache) clear() {
	clear(c.blocks)
	c.recent.Init()
}

// after returns the events with a higher number that happened by the limit.
func (c *prefixCache) after(seq uint64, limit time.Time) []CacheEvent {
	shown := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && e.AtUnixMS <= limit.UnixMilli() {
			shown = append(shown, e)
		}
	}
	return shown
}

// chainOf returns the chain that ends in a block. It is false if a part of the
// chain is no longer cached.
func (c *prefixCache) chainOf(hash uint64) ([]uint64, bool) {
	var reversed []uint64
	for hash != 0 {
		e, ok := c.blocks[hash]
		if !ok {
			return nil, false
		}
		reversed = append(reversed, hash)
		hash = e.Value.(*cachedBlock).parent
	}
	chain := make([]uint64, len(reversed))
	for i, h := range reversed {
		chain[len(reversed)-1-i] = h
	}
	return chain, len(chain) > 0
}

func formatPrefix(hash uint64) string {
	return strconv.FormatUint(hash, 16)
}
