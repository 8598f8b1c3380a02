package admission

import (
	"sync"
	"time"
)

// Shared holds the gates of all pools for traffic goroutines. It is safe for
// concurrent use.
type Shared struct {
	mu   sync.Mutex
	opts Options
	// pools are the options of pools that have their own.
	pools map[string]Options
	gates map[string]*waiters
}

type waiters struct {
	gate  *Gate
	chans map[Ticket]chan Event
}

// Waiter is a request at a gate. Done gives exactly one event.
type Waiter struct {
	Ticket Ticket
	Done   <-chan Event
}

// NewShared gives gates that are made on first use.
func NewShared(opts Options) *Shared {
	return &Shared{opts: opts, pools: map[string]Options{}, gates: map[string]*waiters{}}
}

// Offer is Gate.Offer for the pool's gate.
func (s *Shared) Offer(pool string, req Request, now time.Time) Waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.at(pool)
	t := w.gate.Offer(req, now)
	done := make(chan Event, 1)
	w.chans[t] = done
	w.deliver()
	return Waiter{Ticket: t, Done: done}
}

// Progress is Gate.Progress.
func (s *Shared) Progress(pool string, t Ticket, latency time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.at(pool)
	w.gate.Progress(t, latency, now)
	w.deliver()
}

// Release is Gate.Release.
func (s *Shared) Release(pool string, t Ticket, sample Sample, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.at(pool)
	w.gate.Release(t, sample, now)
	w.deliver()
}

// Cancel is Gate.Cancel. Done of a cancelled waiter may stay silent.
func (s *Shared) Cancel(pool string, t Ticket, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.at(pool)
	delete(w.chans, t)
	w.gate.Cancel(t, now)
	w.deliver()
}

// Advance is Gate.Advance for every pool. Call it every few milliseconds.
func (s *Shared) Advance(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.gates {
		w.gate.Advance(now)
		w.deliver()
	}
}

// Wait is Gate.Wait.
func (s *Shared) Wait(pool string, req Request, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at(pool).gate.Wait(req, now)
}

// Status is a picture of one gate for metrics.
type Status struct {
	Limit, InFlight, Waiting int
	Granted, Queued          uint64
	Rejected                 map[Reason]uint64
}

// Status gives a picture of every gate by pool.
func (s *Shared) Status() map[string]Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]Status, len(s.gates))
	for pool, w := range s.gates {
		all[pool] = w.gate.status()
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

func (s *Shared) at(pool string) *waiters {
	w := s.gates[pool]
	if w == nil {
		w = &waiters{gate: NewGate(s.optionsOf(pool)), chans: map[Ticket]chan Event{}}
		s.gates[pool] = w
	}
	return w
}

// deliver passes the gate's events on. Each channel has room for its event.
func (w *waiters) deliver() {
	for _, e := range w.gate.Events() {
		if c, ok := w.chans[e.Ticket]; ok {
			c <- e
			delete(w.chans, e.Ticket)
		}
	}
}
