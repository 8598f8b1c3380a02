package admission

import (
	"sync"
	"time"
)

// Controller holds the gates of all pools. It is safe for concurrent use.
type Controller struct {
	mu   sync.Mutex
	opts Options
	// poolOpts holds the options set by SetPoolOptions, by pool.
	poolOpts map[string]Options
	gates    map[string]*poolGate
}

// poolGate is the gate of one pool with the channels of its waiting requests.
type poolGate struct {
	gate    *Gate
	waiters map[Ticket]chan Event
}

// Waiter is a request offered to a gate. Done delivers exactly one event, unless
// the request is cancelled.
type Waiter struct {
	Ticket Ticket
	Done   <-chan Event
}

// NewController returns a Controller that creates each pool's gate on first use.
func NewController(opts Options) *Controller {
	return &Controller{opts: opts, poolOpts: map[string]Options{}, gates: map[string]*poolGate{}}
}

// Offer calls Gate.Offer on the pool's gate.
func (c *Controller) Offer(pool string, req Request, now time.Time) Waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.gateOf(pool)
	t := p.gate.Offer(req, now)
	done := make(chan Event, 1)
	p.waiters[t] = done
	p.deliver()
	return Waiter{Ticket: t, Done: done}
}

// Progress calls Gate.Progress on the pool's gate.
func (c *Controller) Progress(pool string, t Ticket, latency time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.gateOf(pool)
	p.gate.Progress(t, latency, now)
	p.deliver()
}

// Release calls Gate.Release on the pool's gate.
func (c *Controller) Release(pool string, t Ticket, sample Sample, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.gateOf(pool)
	p.gate.Release(t, sample, now)
	p.deliver()
}

// Cancel calls Gate.Cancel on the pool's gate. The Done channel of a cancelled
// waiter may never deliver an event.
func (c *Controller) Cancel(pool string, t Ticket, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.gateOf(pool)
	delete(p.waiters, t)
	p.gate.Cancel(t, now)
	p.deliver()
}

// Advance calls Gate.Advance on every pool's gate. Call it every few
// milliseconds.
func (c *Controller) Advance(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.gates {
		p.gate.Advance(now)
		p.deliver()
	}
}

// EstimateWait calls Gate.EstimateWait on the pool's gate.
func (c *Controller) EstimateWait(pool string, req Request, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateOf(pool).gate.EstimateWait(req, now)
}

// Status is a snapshot of one gate for metrics.
type Status struct {
	Limit, InFlight, Waiting int
	Granted, Queued          uint64
	Rejected                 map[Reason]uint64
}

// Status returns a snapshot of every gate, by pool.
func (c *Controller) Status() map[string]Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]Status, len(c.gates))
	for pool, p := range c.gates {
		all[pool] = p.gate.status()
	}
	return all
}

func (g *Gate) status() Status {
	st := Status{
		Limit: g.Limit(), InFlight: g.InFlight(), Waiting: g.Waiting(),
		Granted: g.counts.Granted, Queued: g.counts.Queued,
		Rejected: make(map[Reason]uint64, len(g.counts.Rejected)),
	}
	for r, n := range g.counts.Rejected {
		st.Rejected[r] = n
	}
	return st
}

// gateOf returns the pool's gate and creates it if needed. The caller holds mu.
func (c *Controller) gateOf(pool string) *poolGate {
	p := c.gates[pool]
	if p == nil {
		p = &poolGate{gate: NewGate(c.poolOptions(pool)), waiters: map[Ticket]chan Event{}}
		c.gates[pool] = p
	}
	return p
}

// deliver sends the gate's events to their waiters. Each channel has a buffer
// for its only event, so the send never blocks.
func (p *poolGate) deliver() {
	for _, e := range p.gate.Events() {
		if done, ok := p.waiters[e.Ticket]; ok {
			done <- e
			delete(p.waiters, e.Ticket)
		}
	}
}
