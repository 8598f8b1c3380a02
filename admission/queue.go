package admission

import (
	"container/heap"
	"time"
)

// laneSweep is the number of lanes at which idle ones are removed.
const laneSweep = 4096

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

// lane is the queue of one workspace in one class.
type lane struct {
	workspace string
	items     []*item
	live      int
	// start is the lane's virtual time: the service it has had, divided by its
	// weight. The lane with the least goes next.
	start float64
	index int
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
	lanes   map[string]*lane
	active  laneHeap
	virtual float64
	live    int
	// credit counts grants that a guaranteed class has missed.
	credit float64
}

func newClass() *class { return &class{lanes: map[string]*lane{}} }

func (c *class) lane(workspace string) *lane {
	l := c.lanes[workspace]
	if l == nil {
		if len(c.lanes) >= laneSweep {
			c.sweep()
		}
		l = &lane{workspace: workspace, start: c.virtual, index: -1}
		c.lanes[workspace] = l
	}
	return l
}

// push adds a waiting item. A lane that was idle gets no credit for that time.
func (c *class) push(it *item) {
	l := c.lane(it.req.Workspace)
	it.lane = l
	l.items = append(l.items, it)
	l.live++
	c.live++
	if l.index < 0 {
		l.start = max(l.start, c.virtual)
		heap.Push(&c.active, l)
	}
}

// drop takes an item out of the count; it is skipped later.
func (c *class) drop(it *item) {
	it.gone = true
	l := it.lane
	l.live--
	c.live--
	if l.live == 0 && l.index >= 0 {
		heap.Remove(&c.active, l.index)
		l.items = nil
		c.forget(l)
	}
}

// sweep removes every idle lane without debt, or all idle ones if most have
// debt, which costs their workspaces' history only.
func (c *class) sweep() {
	for _, keepDebt := range []bool{true, false} {
		for name, l := range c.lanes {
			if l.index < 0 && (!keepDebt || l.start <= c.virtual) {
				delete(c.lanes, name)
			}
		}
		if len(c.lanes) < laneSweep/2 {
			return
		}
	}
}

// forget removes an idle lane that has no debt, which bounds the memory to the
// workspaces that are active.
func (c *class) forget(l *lane) {
	if l.start <= c.virtual {
		delete(c.lanes, l.workspace)
	}
}

// charge adds a granted request to its lane's service.
func (c *class) charge(req *Request) {
	l := c.lane(req.Workspace)
	if l.index < 0 {
		l.start = max(l.start, c.virtual)
	}
	c.virtual = max(c.virtual, l.start)
	l.start += req.cost() / req.weight()
	if l.index >= 0 {
		heap.Fix(&c.active, l.index)
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
	if h[i].start == h[j].start {
		return h[i].workspace < h[j].workspace
	}
	return h[i].start < h[j].start
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
