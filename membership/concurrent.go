package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// ConcurrentTracker is a Tracker that is safe for concurrent use. View is a
// single atomic load. Every other method locks a mutex, and those that change
// the state publish the new View before they return.
type ConcurrentTracker struct {
	mu      sync.Mutex
	tracker *Tracker
	view    atomic.Pointer[View]
}

// NewConcurrentTracker returns a ConcurrentTracker whose View is empty.
func NewConcurrentTracker(opts Options) *ConcurrentTracker {
	c := &ConcurrentTracker{tracker: NewTracker(opts)}
	c.view.Store(c.tracker.View())
	return c
}

// View returns the current view.
func (c *ConcurrentTracker) View() *View { return c.view.Load() }

// ApplyList calls Tracker.ApplyList.
func (c *ConcurrentTracker) ApplyList(list List, now time.Time) ListResult {
	c.mu.Lock()
	defer c.publishAndUnlock()
	return c.tracker.ApplyList(list, now)
}

// ApplyObservations calls Tracker.ApplyObservations.
func (c *ConcurrentTracker) ApplyObservations(observations []settings.Observation, now time.Time) {
	c.mu.Lock()
	defer c.publishAndUnlock()
	c.tracker.ApplyObservations(observations, now)
}

// ObserveDraining calls Tracker.ObserveDraining.
func (c *ConcurrentTracker) ObserveDraining(address string, now time.Time) {
	c.mu.Lock()
	defer c.publishAndUnlock()
	c.tracker.ObserveDraining(address, now)
}

// ObserveRefused calls Tracker.ObserveRefused.
func (c *ConcurrentTracker) ObserveRefused(address string, now time.Time) {
	c.mu.Lock()
	defer c.publishAndUnlock()
	c.tracker.ObserveRefused(address, now)
}

// ObserveSuccess calls Tracker.ObserveSuccess.
func (c *ConcurrentTracker) ObserveSuccess(address string, now time.Time) {
	c.mu.Lock()
	defer c.publishAndUnlock()
	c.tracker.ObserveSuccess(address, now)
}

// Observations calls Tracker.Observations.
func (c *ConcurrentTracker) Observations(now time.Time) []settings.Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Observations(now)
}

// Counts calls Tracker.Counts.
func (c *ConcurrentTracker) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Counts()
}

// publishAndUnlock stores the current view and unlocks the mutex.
func (c *ConcurrentTracker) publishAndUnlock() {
	c.view.Store(c.tracker.View())
	c.mu.Unlock()
}
