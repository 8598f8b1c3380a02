package admission

import (
	"container/heap"
	"time"
)

// expiry orders waiting items by the last time at which they may be granted.
type expiry []*item

func (h expiry) Len() int { return len(h) }

func (h expiry) Less(i, j int) bool {
	a, b := h[i].lastStart(), h[j].lastStart()
	if a.Equal(b) {
		return h[i].ticket < h[j].ticket
	}
	return a.Before(b)
}

func (h expiry) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *expiry) Push(x any) {
	it := x.(*item)
	it.place = len(*h)
	*h = append(*h, it)
}

func (h *expiry) Pop() any {
	n := len(*h)
	it := (*h)[n-1]
	(*h)[n-1] = nil
	*h = (*h)[:n-1]
	it.place = -1
	return it
}

// lastStart is when the item must be granted to meet its deadline.
func (it *item) lastStart() time.Time { return it.req.Deadline.Add(-it.req.Need) }

// add registers an item that has a deadline.
func (h *expiry) add(it *item) {
	it.place = -1
	if !it.req.Deadline.IsZero() {
		heap.Push(h, it)
	}
}

func (h *expiry) remove(it *item) {
	if it.place >= 0 {
		heap.Remove(h, it.place)
	}
}
