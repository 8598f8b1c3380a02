package virtualtime

import "time"

type event struct {
	at time.Duration
	// n numbers the events as they are scheduled. It orders those of one time, so
	// that a run is the same each time.
	n  int
	do func()
}

// events is a heap, earliest first.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	n := len(*h)
	e := (*h)[n-1]
	*h = (*h)[:n-1]
	return e
}
