package budget

import (
	"sync"
	"time"
)

// Shared is a Tracker that is safe for concurrent use.
type Shared struct {
	mu   sync.Mutex
	core *Tracker
}

// NewShared returns a Shared without samples.
func NewShared(opts Options) *Shared { return &Shared{core: NewTracker(opts)} }

// Observe calls Tracker.Observe.
func (s *Shared) Observe(k Key, d time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Observe(k, d, now)
}

// Plan calls Tracker.Plan.
func (s *Shared) Plan(stages []Key, remaining time.Duration, now time.Time) Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Plan(stages, remaining, now)
}

// Quantile calls Tracker.Quantile.
func (s *Shared) Quantile(k Key, q float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Quantile(k, q)
}
