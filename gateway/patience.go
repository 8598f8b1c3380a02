package gateway

import (
	"sync"
	"time"
)

// patienceBook learns how long the callers of each route wait in all. A caller
// that comes back after a refusal has less time left, and its objective still
// counts from its first attempt.
type patienceBook struct {
	mu sync.Mutex
	// longest is the longest patience seen of each route.
	longest map[string]time.Duration
}

func newPatienceBook() *patienceBook {
	return &patienceBook{longest: map[string]time.Duration{}}
}

// waited gives the time that a caller with this patience has probably spent on
// earlier attempts.
func (b *patienceBook) waited(route string, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	longest := max(b.longest[route], patience)
	b.longest[route] = longest
	if float64(patience) >= firstShare*float64(longest) {
		return 0
	}
	return time.Duration(usualShare*float64(longest)) - patience
}

const (
	// Callers of one kind wait differently long: a first attempt has at least
	// firstShare of the longest time seen, and usualShare on average.
	firstShare = 0.84
	usualShare = 0.92
)
