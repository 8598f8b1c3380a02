package virtualtime

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock that runs scheduled functions in order of their
// times. The zero value is at time 0 and has nothing scheduled.
type Clock struct {
	now     time.Duration
	queue   eventHeap
	lastSeq int
}

// Now returns the virtual time since the start of the run.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules callback to run d after the current virtual time. The delay
// must not be negative.
func (c *Clock) After(d time.Duration, callback func()) {
	c.lastSeq++
	heap.Push(&c.queue, event{c.now + d, c.lastSeq, callback})
}

// Run executes the scheduled functions, advancing the clock to the time of each,
// until none is left.
func (c *Clock) Run() {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.callback()
	}
}
