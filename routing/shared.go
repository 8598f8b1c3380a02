package routing

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Shared is a Router that is safe for concurrent use.
type Shared struct {
	mu     sync.Mutex
	router *Router
}

// NewShared returns a router that is safe for concurrent use. Options must pass
// Options.Check. The caller must not use rng any more.
func NewShared(opts Options, rng *rand.Rand) *Shared {
	return &Shared{router: NewRouter(opts, rng)}
}

// Choose calls Router.Choose.
func (s *Shared) Choose(source Source, req Request, now time.Time) (Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Choose(source, req, now)
}

// Done calls Router.Done.
func (s *Shared) Done(ticket Ticket, o Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Done(ticket, o, now)
}

// ObserveLoad calls Router.ObserveLoad.
func (s *Shared) ObserveLoad(address string, l Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.ObserveLoad(address, l, now)
}

// ObserveModels calls Router.ObserveModels.
func (s *Shared) ObserveModels(address string, models, adapters []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.ObserveModels(address, models, adapters)
}

// ObserveCache calls Router.ObserveCache.
func (s *Shared) ObserveCache(address string, events []CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.ObserveCache(address, events)
}

// Explain calls Router.Explain.
func (s *Shared) Explain(source Source, req Request, now time.Time) []Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Explain(source, req, now)
}

// Counts calls Router.Counts.
func (s *Shared) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Counts()
}
