package membership

import "time"

// SetSlowStart sets Options.SlowStart. It applies to all upstreams of later
// Views, including those whose slow start is in progress.
func (c *ConcurrentTracker) SetSlowStart(d time.Duration) {
	c.mu.Lock()
	defer c.publishAndUnlock()
	c.tracker.setSlowStart(d)
}

// setSlowStart marks every entry as dirty, because each record contains the
// duration.
func (t *Tracker) setSlowStart(d time.Duration) {
	if t.opts.SlowStart == d {
		return
	}
	t.opts.SlowStart = d
	for _, e := range t.entries {
		t.markDirty(e)
	}
}
