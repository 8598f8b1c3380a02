package admission

import (
	"container/heap"
	"time"
)

// expiryHeap is a min-heap of the queued requests with a deadline, ordered by
// latestStart.
type expiryHeap []*queuedRequest

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	a, b := h[i].latestStart(), h[j].latestStart()
	if a.Equal(b) {
		return h[i].ticket < h[j].ticket
	}
	return a.Before(b)
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	q := x.(*queuedRequest)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

func (h *expiryHeap) Pop() any {
	n := len(*h)
	q := (*h)[n-1]
	(*h)[n-1] = nil
	*h = (*h)[:n-1]
	q.heapIndex = -1
	return q
}

// latestStart returns the time by which the request must be granted to meet its
// deadline.
func (q *queuedRequest) latestStart() time.Time { return q.req.Deadline.Add(-q.req.RemainingTime) }

// add pushes a request onto the heap if it has a deadline.
func (h *expiryHeap) add(q *queuedRequest) {
	q.heapIndex = -1
	if !q.req.Deadline.IsZero() {
		heap.Push(h, q)
	}
}

// remove removes a request from the heap if it is in it.
func (h *expiryHeap) remove(q *queuedRequest) {
	if q.heapIndex >= 0 {
		heap.Remove(h, q.heapIndex)
	}
}
