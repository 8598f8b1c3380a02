package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["endless-answer"] = playEndlessAnswer }

// playEndlessAnswer sends bookings and chats. In trouble, half of the runners of
// the bookings answer with a head and then bytes without end, until the caller
// closes, for a few seconds at a time. Rule LOST: no more than three chats, which
// run at sound engines, may end without a whole answer on a kept connection. A
// process that needs more than its memory is killed by the platform, and counts as
// running all the while.
func playEndlessAnswer(s *system, trouble bool) (broken bool, err error) {
	const (
		ledgers     = 6
		faulty      = 3
		engines     = 4
		bookers     = 24
		chatters    = 16
		rounds      = 4
		troubleTime = 5 * time.Second
		calmTime    = 9 * time.Second
		mostLost    = 3
	)
	s.entryMemoryMB = grownMemoryMB
	var inTrouble atomic.Bool
	for n := range ledgers {
		x := &plainRunner{rec: s.rec, work: 30 * time.Millisecond}
		serve := func(c *runnerConn, r *http.Request, body []byte) error {
			if n >= faulty || !inTrouble.Load() {
				return x.serve(c, r, body)
			}
			id := r.Header.Get("X-Attempt-Id")
			sent, err := writeWithoutEnd(c, id)
			s.rec.say("runner %s: sent %d bytes to %s until the caller closed", x.runner.id, sent, id)
			return err
		}
		if x.runner, err = s.addRunner(121+n, fmt.Sprintf("i-ledger-%d", n), ledgerService, 6, serve); err != nil {
			return false, err
		}
	}
	for n := range engines {
		e := &engine{rec: s.rec, events: 14, gap: 80 * time.Millisecond}
		if e.runner, err = s.addRunner(141+n, fmt.Sprintf("i-engine-%d", n), "huvo11a", 64, e.chat); err != nil {
			return false, err
		}
	}
	if err := s.startServing(2, chatDocument(7)); err != nil {
		return false, err
	}
	// The VMs are in touch.
	time.Sleep(6 * time.Second)
	watch := s.watchMemory(s.entries)
	bookings := newBookings(s)
	stop := make(chan struct{})
	var all sync.WaitGroup
	for range bookers {
		all.Go(func() { bookings.send(stop, 150*time.Millisecond) })
	}
	var whole, lost atomic.Int64
	for n := range chatters {
		all.Go(func() { s.chat(n, stop, &whole, &lost) })
	}
	time.Sleep(3 * time.Second)
	for range rounds {
		inTrouble.Store(trouble)
		s.rec.say("runners i-ledger-0 to i-ledger-%d: in trouble: %t", faulty-1, trouble)
		time.Sleep(troubleTime)
		inTrouble.Store(false)
		time.Sleep(calmTime)
	}
	close(stop)
	all.Wait()
	peak, kills := watch()
	for _, v := range s.entries {
		s.rec.say("platform: %s needed up to %.0f MB of %d MB and was killed for it %d times", v.name, float64(peak[v])/(1<<20), s.entryMemoryMB, kills[v])
	}
	served, failed := bookings.outcome(time.Time{}, time.Now())
	s.rec.say("chats on kept connections: %d whole, %d without a whole answer; bookings: %d served, %d not", whole.Load(), lost.Load(), served, failed)
	if whole.Load() == 0 {
		return false, errors.New("no chat was served")
	}
	return lost.Load() > mostLost, nil
}

// grownMemoryMB is the memory of an entry VM of the grown sites.
const grownMemoryMB = 184

// chatDocument has the routes of plainDocument and one for chats, which may not be
// resumed.
func chatDocument(version int) *document {
	d := plainDocument(version)
	d.Routes = append(d.Routes, map[string]any{
		"name": "r-chat", "host": adviceHost, "path_prefix": advicePath, "kind": "streaming", "timeout_ms": 6000, "slo_ms": 2000, "priority": 2,
		"service": "huvo11a", "max_attempts": 1, "public": false, "session_affinity": true, "can_resume": false, "gap_aim_ms": 400,
	})
	d.Services = append(d.Services, adviceDocument(version).Services[0])
	return d
}

// chat sends one chat after the other to one entry VM, on a connection that it
// keeps, and counts those that ran on a connection that had served others before.
func (s *system) chat(n int, stop <-chan struct{}, whole, lost *atomic.Int64) {
	v := s.entries[n%len(s.entries)]
	c := &client{addr: s.addr(v.host, s.ports.callers)}
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(200)) * time.Millisecond):
		}
		kept := c.conn != nil
		k := adviceCall(newID(), 1)
		delete(k.header, "X-Pieces")
		delete(k.header, "X-Piece-Key")
		a := c.do(k)
		s.rec.say("client %d: chat %s at %s, kept connection: %t, gets %v", n, k.id, v.name, kept, a)
		switch {
		case !kept:
		case a.status == http.StatusOK && a.err == nil:
			whole.Add(1)
		case a.status == http.StatusOK:
			// The engine had begun to answer.
			lost.Add(1)
		}
	}
}

// chat serves a stream without inputs.
func (e *engine) chat(c *runnerConn, r *http.Request, _ []byte) error {
	id := r.Header.Get("X-Attempt-Id")
	e.rec.say("engine %s: runs %s", e.runner.id, id)
	load := e.runner.add(1)
	defer e.runner.add(-1)
	if err := c.beginStream(id, "3e1b."+e.runner.id+"."+id, load); err != nil {
		return err
	}
	for n := 1; n <= e.events; n++ {
		time.Sleep(e.gap)
		if err := c.event(n, fmt.Sprintf("%s token %d", id, n)); err != nil {
			return err
		}
	}
	return c.endStream()
}

// writeWithoutEnd writes the head of an answer without a length and bytes that are
// no answer, until the caller closes.
func writeWithoutEnd(c io.Writer, attempt string) (sent int64, err error) {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n\r\n", attempt); err != nil {
		return 0, err
	}
	block := []byte(strings.Repeat("spoilt bytes ", 5000))
	for {
		n, err := c.Write(block)
		sent += int64(n)
		if err != nil {
			return sent, err
		}
	}
}
