package transport

import (
	"sync"
	"time"
)

// connActivity tracks the active calls and the idle time of one connection. It
// is safe for concurrent use.
type connActivity struct {
	mu          sync.Mutex
	activeCalls int
	idleSince   time.Time
}

func newConnActivity(now time.Time) *connActivity { return &connActivity{idleSince: now} }

func (a *connActivity) callStarted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.activeCalls++
}

func (a *connActivity) callEnded(now func() time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.activeCalls--
	a.idleSince = now()
}

// restartIdleTime measures the idle time from now on.
func (a *connActivity) restartIdleTime(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idleSince = now
}

// idleTime returns how long the connection has had no active call, or 0 if it
// has one.
func (a *connActivity) idleTime(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.activeCalls > 0 {
		return 0
	}
	return now.Sub(a.idleSince)
}
