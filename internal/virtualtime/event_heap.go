package virtualtime

import "time"

type event struct {
	at time.Duration
	// seq is the order of scheduling. It breaks ties between events at the same
	// time, so that a run is deterministic.
	seq      int
	callback func()
}

// eventHeap implements heap.Interface with the earliest event at the root.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	n := len(*h)
	e := (*h)[n-1]
	*h = (*h)[:n-1]
	return e
}
