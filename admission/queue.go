package admission

import (
	"container/heap"
	"time"
)

// Classes of the queue. Requests that have begun come first.
const (
	startedClass = iota
	interactiveClass
	normalClass
	batchClass
	classCount
)

// item is one waiting request.
type item struct {
	ticket Ticket
	req    Request
	since  time.Time
	// gone marks an item that was granted, cancelled or rejected and that is
	// skipped when it comes to an end of its lane.
	gone bool
	lane *lane
	// place is the item's index in the expiry heap, -1 if it is not in it.
	place int
}

// account is what a workspace has had of the pool, over all classes.
type account struct {
	workspace string
	// start is the workspace's virtual time: the service it has had, divided by
	// its weight. The workspace with the least goes next.
	start float64
	// lanes are its queues by class; nil where none wait.
	lanes [classCount]*lane
}

// idle says that no request of the workspace waits.
func (a *account) idle() bool { return a.lanes == [classCount]*lane{} }

// lane is the queue of one workspace in one class.
type lane struct {
	account *account
	items   []*item
	live    int
	index   int
}

// oldest gives the oldest waiting item and drops those that are gone.
func (l *lane) oldest() *item {
	for len(l.items) > 0 && l.items[0].gone {
		l.items[0] = nil
		l.items = l.items[1:]
	}
	if len(l.items) == 0 {
		return nil
	}
	return l.items[0]
}

// newest gives the newest waiting item and drops those that are gone.
func (l *lane) newest() *item {
	for n := len(l.items); n > 0 && l.items[n-1].gone; n = len(l.items) {
		l.items[n-1] = nil
		l.items = l.items[:n-1]
	}
	if len(l.items) == 0 {
		return nil
	}
	return l.items[len(l.items)-1]
}

// class is one priority's queue: start-time fair queueing over its lanes.
type class struct {
	number int
	active laneHeap
	live   int
	// credit counts grants that a guaranteed class has missed.
	credit float64
}

// push adds a waiting item of the account's workspace.
func (c *class) push(it *item, a *account) {
	l := a.lanes[c.number]
	if l == nil {
		l = &lane{account: a}
		a.lanes[c.number] = l
		heap.Push(&c.active, l)
	}
	it.lane = l
	l.items = append(l.items, it)
	l.live++
	c.live++
}

// drop takes an item out of the count; it is skipped later.
func (c *class) drop(it *item) {
	it.gone = true
	l := it.lane
	l.live--
	c.live--
	if l.live == 0 {
		heap.Remove(&c.active, l.index)
		l.account.lanes[c.number] = nil
	}
}

// next gives the item that goes next, without taking it.
func (c *class) next(newestFirst bool) *item {
	if c.live == 0 {
		return nil
	}
	l := c.active[0]
	if newestFirst {
		return l.newest()
	}
	return l.oldest()
}

// laneHeap orders the lanes with waiting items by virtual time.
type laneHeap []*lane

func (h laneHeap) Len() int { return len(h) }

func (h laneHeap) Less(i, j int) bool {
	a, b := h[i].account, h[j].account
	if a.start == b.start {
		return a.workspace < b.workspace
	}
	return a.start < b.start
}

func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.index = len(*h)
	*h = append(*h, l)
}

func (h *laneHeap) Pop() any {
	n := len(*h)
	l := (*h)[n-1]
	(*h)[n-1] = nil
	*h = (*h)[:n-1]
	l.index = -1
	return l
}
