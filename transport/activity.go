package transport

import (
	"sync"
	"time"
)

// activity counts the running calls of one connection. It is safe for
// concurrent use.
type activity struct {
	mu      sync.Mutex
	running int
	last    time.Time
}

func newActivity(now time.Time) *activity { return &activity{last: now} }

func (a *activity) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running++
}

func (a *activity) end(now func() time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	a.last = now()
}

// touch starts the quiet time anew.
func (a *activity) touch(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = now
}

// quiet gives the time for which no call has been running, 0 if one is.
func (a *activity) quiet(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running > 0 {
		return 0
	}
	return now.Sub(a.last)
}
