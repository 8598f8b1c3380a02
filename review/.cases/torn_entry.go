package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["torn-entry"] = playTornEntry }

// tornEntry is an entry whose second half was not written: the bytes there are
// zero.
const tornEntry = "{\"id\":\"i-5b21\",\"service\":\"" + ledgerService + "\",\"address\":\"127.0.0.1:\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\"}"

// playTornEntry replaces the runners of the bookings by new ones: the new ones are
// listed, the old ones drain and end a while later. In trouble, the list also
// holds one torn entry of another writer from before that on. Rule DRAIN: no
// booking may reach an old runner later than drain_ms after the list has shown
// that it drains.
func playTornEntry(s *system, trouble bool) (broken bool, err error) {
	const (
		runners   = 3
		pause     = 100 * time.Millisecond
		drainTime = 4 * time.Second
		// lingerTime is how long an old runner serves from the moment when it is
		// listed as draining.
		lingerTime = drainTime + 6*time.Second
		// releaseEvery is the time between two releases, of one runner each.
		releaseEvery = 3 * time.Second
		after        = 12 * time.Second
	)
	start := func(host int, id string) (*plainRunner, error) {
		x := &plainRunner{rec: s.rec, work: 30 * time.Millisecond}
		var err error
		x.runner, err = s.addRunner(host, id, ledgerService, 6, x.serve)
		return x, err
	}
	var old []*plainRunner
	for n := range runners {
		x, err := start(121+n, fmt.Sprintf("i-old-%d", n))
		if err != nil {
			return false, err
		}
		old = append(old, x)
	}
	if _, err := startRollRunner(s); err != nil {
		return false, err
	}
	if err := s.startServing(2, plainDocument(7)); err != nil {
		return false, err
	}
	// The VMs are in touch.
	time.Sleep(6 * time.Second)
	bookings := newBookings(s)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { bookings.send(stop, pause) })
	time.Sleep(2 * time.Second)
	if trouble {
		s.list.addRaw(tornEntry)
		s.rec.say("platform: the list has a torn entry of another writer")
	}
	time.Sleep(3 * time.Second)
	drainingAt := make([]time.Time, runners)
	for n, x := range old {
		if _, err := start(124+n, fmt.Sprintf("i-new-%d", n)); err != nil {
			return false, err
		}
		s.list.setState(x.runner.id, "draining")
		x.leave()
		drainingAt[n] = time.Now()
		s.rec.say("platform: i-new-%d is listed as ready, %s as draining", n, x.runner.id)
		time.AfterFunc(lingerTime, func() {
			x.runner.end()
			s.list.remove(x.runner.id)
			s.rec.say("platform: %s has ended", x.runner.id)
		})
		time.Sleep(releaseEvery)
	}
	time.Sleep(lingerTime)
	allEnded := time.Now()
	time.Sleep(after)
	close(stop)
	traffic.Wait()
	late := 0
	for n, x := range old {
		for _, run := range x.runs() {
			if sentAt := bookings.sentAt(run.id); sentAt.After(drainingAt[n].Add(drainTime)) {
				late++
				s.rec.say("BROKEN: %s, sent %v after %s was listed as draining, is run by it", run.id, sentAt.Sub(drainingAt[n]).Round(time.Millisecond), x.runner.id)
			}
		}
	}
	served, failed := bookings.outcome(time.Time{}, allEnded)
	servedAfter, failedAfter := bookings.outcome(allEnded, time.Now())
	s.rec.say("%d bookings reached a runner later than %v after it was listed as draining", late, drainTime)
	s.rec.say("until the old runners had ended: %d served, %d not; afterwards: %d served, %d not", served, failed, servedAfter, failedAfter)
	if served == 0 {
		return false, errors.New("no booking was served")
	}
	return late > 0, nil
}

// startRollRunner starts the runner of the members' register, to which one of the
// routes leads.
func startRollRunner(s *system) (*plainRunner, error) {
	x := &plainRunner{rec: s.rec, work: 30 * time.Millisecond}
	var err error
	x.runner, err = s.addRunner(131, "i-roll-0", rollService, 6, x.serve)
	return x, err
}
