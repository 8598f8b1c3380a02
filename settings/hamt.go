package settings

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// trieBits is the number of hash bits that each level of a trie consumes.
const trieBits = 5

// trieDepth is the number of levels that have trieBits bits of the 64-bit hash.
// Nodes at this depth hold a list of colliding entries.
const trieDepth = 64 / trieBits

// trie is an immutable hash array mapped trie with string keys. A change copies
// one node per level and shares the rest: in a map of 19,000 entries, about four
// small nodes. The zero value is an empty trie.
type trie[V any] struct {
	root *trieNode[V]
	size int
}

// trieNode has a slot for each bit that is set in bitmap, in bit order. At
// trieDepth, it has collisions instead, the entries whose hashes collide.
type trieNode[V any] struct {
	bitmap     uint32
	slots      []trieSlot[V]
	collisions []*trieEntry[V]
}

// trieSlot holds either a child node or an entry.
type trieSlot[V any] struct {
	node  *trieNode[V]
	entry *trieEntry[V]
}

type trieEntry[V any] struct {
	hash  uint64
	key   string
	value V
}

// get returns the value of key.
func (t trie[V]) get(key string) (value V, ok bool) {
	hash := xxhash.Sum64String(key)
	n := t.root
	for level := 0; n != nil; level++ {
		if level == trieDepth {
			return n.getCollision(key)
		}
		bit := trieBit(hash, level)
		if n.bitmap&bit == 0 {
			return value, false
		}
		s := n.slots[n.slotIndex(bit)]
		if s.entry != nil {
			if s.entry.key == key {
				return s.entry.value, true
			}
			return value, false
		}
		n = s.node
	}
	return value, false
}

// put returns a trie in which key has the given value.
func (t trie[V]) put(key string, value V) trie[V] {
	e := &trieEntry[V]{hash: xxhash.Sum64String(key), key: key, value: value}
	root, added := t.root.put(e, 0)
	if added {
		return trie[V]{root: root, size: t.size + 1}
	}
	return trie[V]{root: root, size: t.size}
}

// remove returns a trie without key.
func (t trie[V]) remove(key string) trie[V] {
	if _, ok := t.get(key); !ok {
		return t
	}
	root := t.root.remove(xxhash.Sum64String(key), key, 0)
	return trie[V]{root: root, size: t.size - 1}
}

// each calls f for each entry until f returns false. The order is the same for
// equal sets of keys.
func (t trie[V]) each(f func(key string, value V) bool) {
	t.root.each(f)
}

// sortedKeys returns all keys in ascending order.
func (t trie[V]) sortedKeys() []string {
	keys := make([]string, 0, t.size)
	t.each(func(k string, _ V) bool {
		keys = append(keys, k)
		return true
	})
	sort.Strings(keys)
	return keys
}

func trieBit(hash uint64, level int) uint32 {
	return 1 << ((hash >> (level * trieBits)) & (1<<trieBits - 1))
}

func (n *trieNode[V]) slotIndex(bit uint32) int {
	return bits.OnesCount32(n.bitmap & (bit - 1))
}

func (n *trieNode[V]) getCollision(key string) (value V, ok bool) {
	for _, e := range n.collisions {
		if e.key == key {
			return e.value, true
		}
	}
	return value, false
}

func (n *trieNode[V]) put(e *trieEntry[V], level int) (out *trieNode[V], added bool) {
	if n == nil {
		n = &trieNode[V]{}
	}
	if level == trieDepth {
		return n.putCollision(e)
	}
	bit := trieBit(e.hash, level)
	i := n.slotIndex(bit)
	if n.bitmap&bit == 0 {
		return n.insertSlot(i, bit, trieSlot[V]{entry: e}), true
	}
	old := n.slots[i]
	if old.entry != nil && old.entry.key == e.key {
		return n.replaceSlot(i, trieSlot[V]{entry: e}), false
	}
	child := old.node
	if old.entry != nil {
		child, _ = child.put(old.entry, level+1)
	}
	child, added = child.put(e, level+1)
	return n.replaceSlot(i, trieSlot[V]{node: child}), added
}

func (n *trieNode[V]) putCollision(e *trieEntry[V]) (out *trieNode[V], added bool) {
	entries := make([]*trieEntry[V], 0, len(n.collisions)+1)
	added = true
	for _, old := range n.collisions {
		if old.key == e.key {
			added = false
			continue
		}
		entries = append(entries, old)
	}
	entries = append(entries, e)
	sort.Slice(entries, func(a, b int) bool { return entries[a].key < entries[b].key })
	return &trieNode[V]{collisions: entries}, added
}

func (n *trieNode[V]) insertSlot(i int, bit uint32, s trieSlot[V]) *trieNode[V] {
	slots := make([]trieSlot[V], len(n.slots)+1)
	copy(slots, n.slots[:i])
	slots[i] = s
	copy(slots[i+1:], n.slots[i:])
	return &trieNode[V]{bitmap: n.bitmap | bit, slots: slots}
}

func (n *trieNode[V]) replaceSlot(i int, s trieSlot[V]) *trieNode[V] {
	slots := make([]trieSlot[V], len(n.slots))
	copy(slots, n.slots)
	slots[i] = s
	return &trieNode[V]{bitmap: n.bitmap, slots: slots}
}

// remove returns a copy of the node without key, which must be present, or nil
// if no entry is left.
func (n *trieNode[V]) remove(hash uint64, key string, level int) *trieNode[V] {
	if level == trieDepth {
		return n.removeCollision(key)
	}
	bit := trieBit(hash, level)
	i := n.slotIndex(bit)
	if n.slots[i].entry != nil {
		return n.removeSlot(i, bit)
	}
	child := n.slots[i].node.remove(hash, key, level+1)
	if child == nil {
		return n.removeSlot(i, bit)
	}
	// The last entry of a child moves up to this node, so that equal sets of
	// keys have equal structure.
	if len(child.slots) == 1 && child.slots[0].entry != nil {
		return n.replaceSlot(i, child.slots[0])
	}
	if len(child.collisions) == 1 {
		return n.replaceSlot(i, trieSlot[V]{entry: child.collisions[0]})
	}
	return n.replaceSlot(i, trieSlot[V]{node: child})
}

func (n *trieNode[V]) removeCollision(key string) *trieNode[V] {
	entries := make([]*trieEntry[V], 0, len(n.collisions))
	for _, e := range n.collisions {
		if e.key != key {
			entries = append(entries, e)
		}
	}
	if len(entries) == 0 {
		return nil
	}
	return &trieNode[V]{collisions: entries}
}

func (n *trieNode[V]) removeSlot(i int, bit uint32) *trieNode[V] {
	if len(n.slots) == 1 {
		return nil
	}
	slots := make([]trieSlot[V], len(n.slots)-1)
	copy(slots, n.slots[:i])
	copy(slots[i:], n.slots[i+1:])
	return &trieNode[V]{bitmap: n.bitmap &^ bit, slots: slots}
}

func (n *trieNode[V]) each(f func(key string, value V) bool) bool {
	if n == nil {
		return true
	}
	for _, e := range n.collisions {
		if !f(e.key, e.value) {
			return false
		}
	}
	for _, s := range n.slots {
		if s.entry != nil {
			if !f(s.entry.key, s.entry.value) {
				return false
			}
			continue
		}
		if !s.node.each(f) {
			return false
		}
	}
	return true
}
