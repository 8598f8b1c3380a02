package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["stale-list"] = playStaleList }

// playStaleList replaces one of three runners of the bookings by a new one: the new
// one is listed as ready, the old one as draining, and the old one ends a while
// later. In trouble, the one control VM that reads the platform's list is killed a
// moment before, and is back after downFor. Rule DRAIN: no booking may reach the old
// runner later than drain_ms after the list has shown that it drains, and later
// than contact_ms after the kill.
func playStaleList(s *system, trouble bool) (broken bool, err error) {
	const (
		runners     = 3
		senders     = 8
		pause       = 200 * time.Millisecond
		workTime    = 200 * time.Millisecond
		drainTime   = 4 * time.Second
		contactTime = 4 * time.Second
		// downFor is the longest time for which the site's days leave killed
		// control VMs down.
		downFor = 7 * time.Second
		// lingerTime is how long the old runner serves from the moment when it is
		// listed as draining.
		lingerTime = drainTime + 2*time.Second
	)
	start := func(host int, id string) (*plainRunner, error) {
		x := &plainRunner{rec: s.rec, work: workTime}
		var err error
		x.runner, err = s.addRunner(host, id, ledgerService, 6, x.serve)
		return x, err
	}
	var old *plainRunner
	for n := range runners {
		if old, err = start(121+n, fmt.Sprintf("i-old-%d", n)); err != nil {
			return false, err
		}
	}
	if _, err := startRollRunner(s); err != nil {
		return false, err
	}
	for n := 1; n <= controlVMs; n++ {
		if err := s.list.listenFor(n, s.addr(200+n, s.ports.list)); err != nil {
			return false, err
		}
	}
	if err := s.startServing(3, plainDocument(7)); err != nil {
		return false, err
	}
	// Every control VM becomes a voter, and the VMs are in touch.
	time.Sleep(10 * time.Second)
	bookings := newBookings(s)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for range senders {
		traffic.Go(func() { bookings.send(stop, pause) })
	}
	time.Sleep(2 * time.Second)
	reader := s.reader()
	if reader == nil {
		return false, errors.New("no control VM has read the list")
	}
	s.rec.say("platform: %s reads the list", reader.name)
	killedAt := time.Now()
	if trouble {
		reader.kill()
		s.rec.say("platform: %s is killed", reader.name)
	}
	fresh, err := start(124, "i-new-0")
	if err != nil {
		return false, err
	}
	s.list.setState(old.runner.id, "draining")
	old.leave()
	drainingAt := time.Now()
	s.rec.say("platform: i-new-0 is listed as ready, %s as draining", old.runner.id)
	time.AfterFunc(lingerTime, func() {
		old.runner.end()
		s.list.remove(old.runner.id)
		s.rec.say("platform: %s has ended", old.runner.id)
	})
	time.Sleep(time.Until(killedAt.Add(downFor)))
	for _, v := range s.control {
		s.rec.say("platform: %s last read the list at %.3f s", v.name, s.list.lastRead(v.host).Sub(s.rec.began).Seconds())
	}
	if trouble {
		if err := reader.start(); err != nil {
			return false, err
		}
		s.rec.say("platform: %s starts again", reader.name)
	}
	s.rec.say("i-new-0 has run %d bookings so far", len(fresh.runs()))
	time.Sleep(3 * time.Second)
	close(stop)
	traffic.Wait()
	late, lost := 0, 0
	for _, run := range old.runs() {
		sentAt := bookings.sentAt(run.id)
		if !bookings.isServed(run.id) {
			lost++
			s.rec.say("booking %s was begun by %s and got no answer from it", run.id, old.runner.id)
		}
		if sentAt.After(drainingAt.Add(drainTime)) && sentAt.After(killedAt.Add(contactTime)) {
			late++
			s.rec.say("BROKEN: booking %s, sent %v after %s was listed as draining, is run by it", run.id, sentAt.Sub(drainingAt).Round(time.Millisecond), old.runner.id)
		}
	}
	served, failed := bookings.outcome(time.Time{}, time.Now())
	s.rec.say("%d bookings reached the old runner later than %v after it was listed as draining, %d were under way there when it ended; %d bookings served, %d not",
		late, drainTime, lost, served, failed)
	if served == 0 {
		return false, errors.New("no booking was served")
	}
	return late > 0, nil
}

// reader returns the control VM that has read the list last.
func (s *system) reader() *vm {
	var last *vm
	for _, v := range s.control {
		at := s.list.lastRead(v.host)
		if !at.IsZero() && (last == nil || at.After(s.list.lastRead(last.host))) {
			last = v
		}
	}
	return last
}
