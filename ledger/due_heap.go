package ledger

import "bytes"

// dueItem is a settled entry and the time after which it may be removed.
type dueItem struct {
	dueMS int64
	slot  slot
}

// dueHeap is a binary min-heap of settled entries by due time. Equal times are
// ordered by key ID, so that all replicas remove entries in the same order.
type dueHeap struct {
	items []dueItem
}

func (h *dueHeap) push(s *slab, d dueItem) {
	h.items = append(h.items, d)
	h.siftUp(s, len(h.items)-1)
}

func (h *dueHeap) peek() (dueItem, bool) {
	if len(h.items) == 0 {
		return dueItem{}, false
	}
	return h.items[0], true
}

// pop removes the first item. The heap must not be empty.
func (h *dueHeap) pop(s *slab) { h.removeAt(s, 0) }

// removeSlot removes the item of a slot by a linear search. Only the release of
// an unknown key needs it, which is rare.
func (h *dueHeap) removeSlot(s *slab, i slot) {
	for at, d := range h.items {
		if d.slot == i {
			h.removeAt(s, at)
			return
		}
	}
}

func (h *dueHeap) removeAt(s *slab, i int) {
	last := len(h.items) - 1
	h.items[i] = h.items[last]
	h.items = h.items[:last]
	if i == last {
		return
	}
	h.siftDown(s, i)
	h.siftUp(s, i)
}

func (h *dueHeap) siftUp(s *slab, i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(s, i, parent) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

func (h *dueHeap) siftDown(s *slab, i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(s, child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}

func (h *dueHeap) less(s *slab, a, b int) bool {
	x, y := h.items[a], h.items[b]
	if x.dueMS != y.dueMS {
		return x.dueMS < y.dueMS
	}
	return bytes.Compare(s.at(x.slot).id[:], s.at(y.slot).id[:]) < 0
}
