package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent-stream"] = playSilentStream }

// playSilentStream stops an entry VM with SIGTERM while it relays streams. In
// trouble, the engines make no token for a while in the middle of each stream, as
// when a request is preempted and read in again; then they go on. Rule LOST: no
// stream may be cut by the entry VM, and the silence of a runner is no reason to
// cut it.
func playSilentStream(s *system, trouble bool) (broken bool, err error) {
	const (
		streams = 8
		events  = 22
		gap     = 100 * time.Millisecond
		// silentBefore is the event before which the engines are silent.
		silentBefore = 19
		silence      = 1500 * time.Millisecond
		stopAfter    = time.Second
	)
	res := newResults()
	for n := range 2 {
		x := &stageRunner{rec: s.rec, results: res}
		if x.runner, err = s.addRunner(101+n, fmt.Sprintf("i-stage-%d", n), "kafi81c", 1, x.serve); err != nil {
			return false, err
		}
	}
	for n := range 4 {
		e := &engine{rec: s.rec, results: res, events: events, gap: gap}
		e.pause = func(n int) {
			if trouble && n == silentBefore {
				time.Sleep(silence)
			}
		}
		if e.runner, err = s.addRunner(111+n, fmt.Sprintf("i-engine-%d", n), "huvo11a", 64, e.serve); err != nil {
			return false, err
		}
	}
	if err := s.startServing(2, adviceDocument(7)); err != nil {
		return false, err
	}
	// A while without any change, so that nothing but the stop is under way.
	time.Sleep(6 * time.Second)
	target := s.entries[0]
	answers := make([]*answer, streams)
	var all sync.WaitGroup
	for n := range streams {
		all.Go(func() {
			c := &client{addr: s.addr(target.host, s.ports.callers)}
			defer c.close()
			k := adviceCall(newID(), 1)
			s.rec.say("client %d: sends %s to %s", n, k.id, target.name)
			answers[n] = c.do(k)
			s.rec.say("client %d: %s gets %v", n, k.id, answers[n])
		})
	}
	time.Sleep(stopAfter)
	s.rec.say("platform: SIGTERM to %s", target.name)
	target.stop()
	s.rec.say("platform: %s has ended", target.name)
	all.Wait()
	complete, cut := 0, 0
	for _, a := range answers {
		switch {
		case a.status == http.StatusOK && a.err == nil:
			complete++
		case a.status == http.StatusOK:
			cut++
		}
	}
	s.rec.say("%d streams complete, %d cut midway", complete, cut)
	if complete+cut == 0 {
		return false, errors.New("no stream began")
	}
	return cut > 0, nil
}
