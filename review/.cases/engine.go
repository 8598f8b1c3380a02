package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model runner. It checks that the inputs of a request
// are the results of the request's own pieces.
type engine struct {
	rec     *record
	results *results
	runner  *runner
	// events is the number of events of a stream, gap the time between two.
	events int
	gap    time.Duration
	// pause is called before each event with its number; nil for none.
	pause func(n int)

	mu sync.Mutex
	// foreign counts the requests that were given results of other requests.
	foreign int
}

func (e *engine) serve(c *runnerConn, r *http.Request, _ []byte) error {
	id := r.Header.Get("X-Attempt-Id")
	list := r.Header.Get("X-Inputs")
	for _, handle := range strings.Split(list, ",") {
		item, ok := e.results.ownerOf(handle)
		if !ok {
			e.rec.say("engine %s: %s has the input %s, which is gone: 409", e.runner.id, id, handle)
			return c.respond(http.StatusConflict, map[string]string{"X-Attempt-Id": id, "X-Not-Executed": "1", "X-Server-Load": e.runner.add(0)}, nil)
		}
		if item.ID != id {
			e.mu.Lock()
			e.foreign++
			e.mu.Unlock()
			e.rec.say("engine %s: BROKEN, %s is given %s, the result of piece %d of %s", e.runner.id, id, handle, item.Piece, item.ID)
		}
	}
	e.rec.say("engine %s: runs %s with the inputs %s, last event %q", e.runner.id, id, list, r.Header.Get("Last-Event-Id"))
	load := e.runner.add(1)
	defer e.runner.add(-1)
	if err := c.beginStream(id, "3e1b."+e.runner.id+"."+id, load); err != nil {
		return err
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		if _, err := fmt.Sscan(last, &first); err == nil {
			first++
		}
	}
	for n := first; n <= e.events; n++ {
		if e.pause != nil {
			e.pause(n)
		}
		time.Sleep(e.gap)
		if err := c.event(n, fmt.Sprintf("%s token %d", id, n)); err != nil {
			e.rec.say("engine %s: %s was broken off by the caller before event %d of %d", e.runner.id, id, n, e.events)
			return err
		}
	}
	return c.endStream()
}
