package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// ConcurrentTracker is a Tracker that is safe for concurrent use. View is a single atomic
// load. Every other method locks a mutex, and those that change the state publish
// the new View before they return.
type ConcurrentTracker struct {
	mu      sync.Mutex
	tracker *Tracker
	view    atomic.Pointer[View]
}

// NewConcurrentTracker returns a Shared whose View is empty.
func NewConcurrentTracker(opts Options) *ConcurrentTracker {
	s := &ConcurrentTracker{tracker: NewTracker(opts)}
	s.view.Store(s.tracker.View())
	return s
}

// View returns the current view.
func (s *ConcurrentTracker) View() *View { return s.view.Load() }

// ApplyList calls Tracker.ApplyList.
func (s *ConcurrentTracker) ApplyList(list List, now time.Time) ListResult {
	s.mu.Lock()
	defer s.publishAndUnlock()
	return s.tracker.ApplyList(list, now)
}

// ApplyObservations calls Tracker.ApplySigns.
func (s *ConcurrentTracker) ApplyObservations(signs []settings.Observation, now time.Time) {
	s.mu.Lock()
	defer s.publishAndUnlock()
	s.tracker.ApplyObservations(signs, now)
}

// ObserveDraining calls Tracker.ObserveDraining.
func (s *ConcurrentTracker) ObserveDraining(address string, now time.Time) {
	s.mu.Lock()
	defer s.publishAndUnlock()
	s.tracker.ObserveDraining(address, now)
}

// ObserveRefused calls Tracker.ObserveRefused.
func (s *ConcurrentTracker) ObserveRefused(address string, now time.Time) {
	s.mu.Lock()
	defer s.publishAndUnlock()
	s.tracker.ObserveRefused(address, now)
}

// ObserveSuccess calls Tracker.ObserveSuccess.
func (s *ConcurrentTracker) ObserveSuccess(address string, now time.Time) {
	s.mu.Lock()
	defer s.publishAndUnlock()
	s.tracker.ObserveSuccess(address, now)
}

// Observations calls Tracker.Signs.
func (s *ConcurrentTracker) Observations(now time.Time) []settings.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Observations(now)
}

// Counts calls Tracker.Counts.
func (s *ConcurrentTracker) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Counts()
}

// publishAndUnlock stores the current view and unlocks the mutex.
func (s *ConcurrentTracker) publishAndUnlock() {
	s.view.Store(s.tracker.View())
	s.mu.Unlock()
}
