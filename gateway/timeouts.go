package gateway

import (
	"sync"
	"time"
)

// timeoutTracker learns the total timeout of each route's callers, to tell
// first attempts from retries. A caller that retries after a refusal has less
// time left, and its latency objective still counts from its first attempt.
type timeoutTracker struct {
	mu sync.Mutex
	// longest is the longest timeout seen on each route.
	longest map[string]time.Duration
}

func newTimeoutTracker() *timeoutTracker {
	return &timeoutTracker{longest: map[string]time.Duration{}}
}

// priorWait estimates how long a caller with this timeout has already spent on
// earlier attempts.
func (t *timeoutTracker) priorWait(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := max(t.longest[route], timeout)
	t.longest[route] = longest
	if float64(timeout) >= firstAttemptShare*float64(longest) {
		return 0
	}
	return time.Duration(meanTimeoutShare*float64(longest)) - timeout
}

const (
	// The callers of a route have different timeouts: that of a first attempt is
	// at least firstAttemptShare of the longest one seen, and meanTimeoutShare of
	// it on average.
	firstAttemptShare = 0.84
	meanTimeoutShare  = 0.92
)
