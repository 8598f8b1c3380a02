package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// Shared is a Tracker that is safe for concurrent use. View is a single atomic
// load. Every other method locks a mutex, and those that change the state publish
// the new View before they return.
type Shared struct {
	mu      sync.Mutex
	tracker *Tracker
	view    atomic.Pointer[View]
}

// NewShared returns a Shared whose View is empty.
func NewShared(opts Options) *Shared {
	s := &Shared{tracker: NewTracker(opts)}
	s.view.Store(s.tracker.View())
	return s
}

// View returns the current view.
func (s *Shared) View() *View { return s.view.Load() }

// ApplyList calls Tracker.ApplyList.
func (s *Shared) ApplyList(list List, now time.Time) ListResult {
	s.mu.Lock()
	defer s.publishAndUnlock()
	return s.tracker.ApplyList(list, now)
}

// ApplySigns calls Tracker.ApplySigns.
func (s *Shared) ApplySigns(signs []settings.Observation, now time.Time) {
	s.mu.Lock()
	defer s.publishAndUnlock()
	s.tracker.ApplySigns(signs, now)
}

// ObserveDraining calls Tracker.ObserveDraining.
func (s *Shared) ObserveDraining(address string, now time.Time) {
	s.mu.Lock()
	defer s.publishAndUnlock()
	s.tracker.ObserveDraining(address, now)
}

// ObserveRefused calls Tracker.ObserveRefused.
func (s *Shared) ObserveRefused(address string, now time.Time) {
	s.mu.Lock()
	defer s.publishAndUnlock()
	s.tracker.ObserveRefused(address, now)
}

// ObserveSuccess calls Tracker.ObserveSuccess.
func (s *Shared) ObserveSuccess(address string, now time.Time) {
	s.mu.Lock()
	defer s.publishAndUnlock()
	s.tracker.ObserveSuccess(address, now)
}

// Signs calls Tracker.Signs.
func (s *Shared) Signs(now time.Time) []settings.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Signs(now)
}

// Counts calls Tracker.Counts.
func (s *Shared) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Counts()
}

// publishAndUnlock stores the current view and unlocks the mutex.
func (s *Shared) publishAndUnlock() {
	s.view.Store(s.tracker.View())
	s.mu.Unlock()
}
