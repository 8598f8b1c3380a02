package main

import (
	"net/http"
	"sync"
	"time"
)

// bookings sends bookings and records their answers. It is safe for concurrent
// use.
type bookings struct {
	s *system

	mu   sync.Mutex
	list map[string]*booking
}

type booking struct {
	sentAt time.Time
	answer *answer
}

func newBookings(s *system) *bookings { return &bookings{s: s, list: map[string]*booking{}} }

// send sends a booking after the other until stop is closed.
func (b *bookings) send(stop <-chan struct{}, pause time.Duration) {
	var clients []*client
	for _, v := range b.s.entries {
		clients = append(clients, &client{addr: b.s.addr(v.host, b.s.ports.callers)})
	}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		b.post(clients[n%len(clients)], newID())
	}
}

// post sends one booking.
func (b *bookings) post(c *client, id string) {
	k := &call{id: id, method: http.MethodPost, host: depositHost, path: "/sopo924/2f", deadline: 3 * time.Second, body: "booking"}
	entry := &booking{sentAt: time.Now()}
	b.mu.Lock()
	b.list[id] = entry
	b.mu.Unlock()
	a := c.do(k)
	b.mu.Lock()
	entry.answer = a
	b.mu.Unlock()
	b.s.rec.say("client: booking %s gets %v", id, a)
}

func (b *bookings) sentAt(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.list[id]; e != nil {
		return e.sentAt
	}
	return time.Time{}
}

// outcome counts the bookings that were sent from one time to another.
func (b *bookings) outcome(from, to time.Time) (served, failed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.list {
		switch {
		case e.sentAt.Before(from) || !e.sentAt.Before(to):
		case e.answer != nil && e.answer.err == nil && e.answer.status == http.StatusOK:
			served++
		default:
			failed++
		}
	}
	return served, failed
}
