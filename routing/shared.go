package routing

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Shared is a Router for traffic goroutines. It is safe for concurrent use.
type Shared struct {
	mu   sync.Mutex
	core *Router
}

// NewShared gives a shared router. The caller must not use rng any more.
func NewShared(opts Options, rng *rand.Rand) *Shared {
	return &Shared{core: NewRouter(opts, rng)}
}

// Choose is Router.Choose.
func (s *Shared) Choose(source Source, req Request, now time.Time) (Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Choose(source, req, now)
}

// Done is Router.Done.
func (s *Shared) Done(ticket Ticket, o Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Done(ticket, o, now)
}

// ObserveLoad is Router.ObserveLoad.
func (s *Shared) ObserveLoad(address string, l Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.ObserveLoad(address, l, now)
}

// ObserveModels is Router.ObserveModels.
func (s *Shared) ObserveModels(address string, models, adapters []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.ObserveModels(address, models, adapters)
}

// ObserveCache is Router.ObserveCache.
func (s *Shared) ObserveCache(address string, events []CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.ObserveCache(address, events)
}

// Explain is Router.Explain.
func (s *Shared) Explain(source Source, req Request, now time.Time) []Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Explain(source, req, now)
}

// Counts is Router.Counts.
func (s *Shared) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Counts()
}
