package routing

import (
	"math/rand/v2"
	"sync"
	"time"
)

// ConcurrentRouter is a Router that is safe for concurrent use.
type ConcurrentRouter struct {
	mu     sync.Mutex
	router *Router
}

// NewConcurrentRouter returns a router that is safe for concurrent use. Options must pass
// Options.Check. The caller must not use rng any more.
func NewConcurrentRouter(opts Options, rng *rand.Rand) *ConcurrentRouter {
	return &ConcurrentRouter{router: NewRouter(opts, rng)}
}

// Choose calls Router.Choose.
func (s *ConcurrentRouter) Choose(source Source, req Request, now time.Time) (Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Choose(source, req, now)
}

// Done calls Router.Done.
func (s *ConcurrentRouter) Done(ticket Ticket, o Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Done(ticket, o, now)
}

// ObserveLoad calls Router.ObserveLoad.
func (s *ConcurrentRouter) ObserveLoad(address string, l Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.ObserveLoad(address, l, now)
}

// ObserveModels calls Router.ObserveModels.
func (s *ConcurrentRouter) ObserveModels(address string, models, adapters []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.ObserveModels(address, models, adapters)
}

// ObserveCache calls Router.ObserveCache.
func (s *ConcurrentRouter) ObserveCache(address string, events []CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.ObserveCache(address, events)
}

// Explain calls Router.Explain.
func (s *ConcurrentRouter) Explain(source Source, req Request, now time.Time) []Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Explain(source, req, now)
}

// Counts calls Router.Counts.
func (s *ConcurrentRouter) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Counts()
}
