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

// NewConcurrentRouter returns a router that is safe for concurrent use. Options
// must pass Options.Check. The caller must not use rng any more.
func NewConcurrentRouter(opts Options, rng *rand.Rand) *ConcurrentRouter {
	return &ConcurrentRouter{router: NewRouter(opts, rng)}
}

// Choose calls Router.Choose.
func (c *ConcurrentRouter) Choose(source Source, req Request, now time.Time) (Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.router.Choose(source, req, now)
}

// Done calls Router.Done.
func (c *ConcurrentRouter) Done(ticket Ticket, o Outcome, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.Done(ticket, o, now)
}

// ObserveLoad calls Router.ObserveLoad.
func (c *ConcurrentRouter) ObserveLoad(address string, l Load, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.ObserveLoad(address, l, now)
}

// ObserveModels calls Router.ObserveModels.
func (c *ConcurrentRouter) ObserveModels(address string, models, adapters []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.ObserveModels(address, models, adapters)
}

// ObserveCache calls Router.ObserveCache.
func (c *ConcurrentRouter) ObserveCache(address string, events []CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.ObserveCache(address, events)
}

// Explain calls Router.Explain.
func (c *ConcurrentRouter) Explain(source Source, req Request, now time.Time) []Explanation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.router.Explain(source, req, now)
}

// Counts calls Router.Counts.
func (c *ConcurrentRouter) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.router.Counts()
}
