package membership

import "time"

// TuneSlowStart sets the time in which trust in a new or returning upstream
// grows. It holds for every upstream of views made from then on.
func (s *Shared) TuneSlowStart(d time.Duration) {
	s.mu.Lock()
	defer s.publish()
	s.core.tuneSlowStart(d)
}

// tuneSlowStart publishes every upstream anew, since each record carries the
// time.
func (t *Tracker) tuneSlowStart(d time.Duration) {
	if t.opts.SlowStart == d {
		return
	}
	t.opts.SlowStart = d
	for _, e := range t.entries {
		t.touch(e)
	}
}
