// Package recentset tells keys that were seen recently from new ones.
package recentset

import (
	"sync"
	"time"
)

// Set remembers keys for a while. Its zero value is empty. It is safe for concurrent
// use.
type Set struct {
	mu sync.Mutex
	// current holds the keys added since startedAt, previous those of the
	// period before.
	current, previous map[string]struct{}
	startedAt         time.Time
}

// Add remembers a key and reports whether it is new. A key is remembered for the
// given time at least and twice that at most.
func (s *Set) Add(now time.Time, key string, memory time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || now.Sub(s.startedAt) > memory {
		s.previous, s.current, s.startedAt = s.current, map[string]struct{}{}, now
	}
	_, recent := s.current[key]
	_, older := s.previous[key]
	s.current[key] = struct{}{}
	return !recent && !older
}
