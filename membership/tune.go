package membership

import "time"

// TuneSlowStart sets the time in which trust in a new or returning upstream
// grows. It holds for views made from then on.
func (s *Shared) TuneSlowStart(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.opts.SlowStart = d
}
