package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// Shared is a Tracker for several goroutines. View is a single atomic load;
// every other method takes a mutex and publishes the new view before it returns.
type Shared struct {
	mu   sync.Mutex
	core *Tracker
	view atomic.Pointer[View]
}

// NewShared gives a shared tracker with an empty view.
func NewShared(opts Options) *Shared {
	s := &Shared{core: NewTracker(opts)}
	s.view.Store(s.core.View())
	return s
}

// View gives the present view.
func (s *Shared) View() *View { return s.view.Load() }

// ApplyList is Tracker.ApplyList.
func (s *Shared) ApplyList(list List, now time.Time) ListResult {
	s.mu.Lock()
	defer s.publish()
	return s.core.ApplyList(list, now)
}

// ApplySigns is Tracker.ApplySigns.
func (s *Shared) ApplySigns(signs []settings.Sign, now time.Time) {
	s.mu.Lock()
	defer s.publish()
	s.core.ApplySigns(signs, now)
}

// ObserveDraining is Tracker.ObserveDraining.
func (s *Shared) ObserveDraining(address string, now time.Time) {
	s.mu.Lock()
	defer s.publish()
	s.core.ObserveDraining(address, now)
}

// ObserveRefused is Tracker.ObserveRefused.
func (s *Shared) ObserveRefused(address string, now time.Time) {
	s.mu.Lock()
	defer s.publish()
	s.core.ObserveRefused(address, now)
}

// ObserveSuccess is Tracker.ObserveSuccess.
func (s *Shared) ObserveSuccess(address string, now time.Time) {
	s.mu.Lock()
	defer s.publish()
	s.core.ObserveSuccess(address, now)
}

// Signs is Tracker.Signs.
func (s *Shared) Signs(now time.Time) []settings.Sign {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Signs(now)
}

// Counts is Tracker.Counts.
func (s *Shared) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Counts()
}

func (s *Shared) publish() {
	s.view.Store(s.core.View())
	s.mu.Unlock()
}
