package virtualtime

import (
	"container/heap"
	"time"
)

// Clock runs scheduled functions in the order of their times. The zero value is
// at time 0 with nothing scheduled.
type Clock struct {
	now       time.Duration
	queue     events
	scheduled int
}

// Now gives the time since the start of the run.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules do for the time d from now. D is not negative.
func (c *Clock) After(d time.Duration, do func()) {
	c.scheduled++
	heap.Push(&c.queue, event{c.now + d, c.scheduled, do})
}

// Run moves the time from one event to the next until none is scheduled.
func (c *Clock) Run() {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
}
