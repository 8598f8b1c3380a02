package admission

import (
	"container/heap"
	"time"
)

// Queue classes, in the order in which they are served. startedClass holds the
// requests of which an earlier stage has run.
const (
	startedClass = iota
	interactiveClass
	normalClass
	batchClass
	classCount
)

// queuedRequest is a request waiting in the queue.
type queuedRequest struct {
	ticket     Ticket
	req        Request
	enqueuedAt time.Time
	// removed marks a request that was granted, cancelled or rejected. It is
	// discarded once it reaches either end of its flow.
	removed bool
	flow    *flow
	// heapIndex is the index in the expiry heap, -1 if the request is not in it.
	heapIndex int
}

// workspaceUsage records the service that a workspace has received from the
// pool, over all classes.
type workspaceUsage struct {
	workspace string
	// virtualTime is the service received divided by the workspace's weight. The
	// workspace with the least virtual time is served next.
	virtualTime float64
	// flows are the workspace's flows by class, nil where no request waits.
	flows [classCount]*flow
}

// idle reports whether no request of the workspace waits.
func (u *workspaceUsage) idle() bool { return u.flows == [classCount]*flow{} }

// flow is the queue of one workspace in one class, oldest request first.
type flow struct {
	usage *workspaceUsage
	queue []*queuedRequest
	// waiting counts the requests in queue that are not removed.
	waiting int
	// heapIndex is the index in the active heap of the class.
	heapIndex int
}

// oldest returns the oldest waiting request, nil if there is none. It discards
// removed requests at the front.
func (f *flow) oldest() *queuedRequest {
	for len(f.queue) > 0 && f.queue[0].removed {
		f.queue[0] = nil
		f.queue = f.queue[1:]
	}
	if len(f.queue) == 0 {
		return nil
	}
	return f.queue[0]
}

// newest returns the newest waiting request, nil if there is none. It discards
// removed requests at the back.
func (f *flow) newest() *queuedRequest {
	for n := len(f.queue); n > 0 && f.queue[n-1].removed; n = len(f.queue) {
		f.queue[n-1] = nil
		f.queue = f.queue[:n-1]
	}
	if len(f.queue) == 0 {
		return nil
	}
	return f.queue[len(f.queue)-1]
}

// class is one class of the queue: start-time fair queueing over the flows of the
// workspaces.
type class struct {
	number int
	// active holds the flows with waiting requests.
	active  flowHeap
	waiting int
	// credit counts the guaranteed grants that the class has not yet received.
	credit float64
}

// push appends a request to the flow of its workspace u.
func (c *class) push(q *queuedRequest, u *workspaceUsage) {
	f := u.flows[c.number]
	if f == nil {
		f = &flow{usage: u}
		u.flows[c.number] = f
		heap.Push(&c.active, f)
	}
	q.flow = f
	f.queue = append(f.queue, q)
	f.waiting++
	c.waiting++
}

// remove marks a request as removed and deactivates its flow if no other request
// of it waits.
func (c *class) remove(q *queuedRequest) {
	q.removed = true
	f := q.flow
	f.waiting--
	c.waiting--
	if f.waiting == 0 {
		heap.Remove(&c.active, f.heapIndex)
		f.usage.flows[c.number] = nil
	}
}

// next returns the request to be served next without removing it, nil if none
// waits.
func (c *class) next(newestFirst bool) *queuedRequest {
	if c.waiting == 0 {
		return nil
	}
	f := c.active[0]
	if newestFirst {
		return f.newest()
	}
	return f.oldest()
}

// flowHeap is a min-heap of flows, ordered by the virtual time of their
// workspaces.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	a, b := h[i].usage, h[j].usage
	if a.virtualTime == b.virtualTime {
		return a.workspace < b.workspace
	}
	return a.virtualTime < b.virtualTime
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	n := len(*h)
	f := (*h)[n-1]
	(*h)[n-1] = nil
	*h = (*h)[:n-1]
	f.heapIndex = -1
	return f
}
