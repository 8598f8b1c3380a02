package main

import (
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"
)

// plainRunner is a sound stand-in of a runner of a plain service. It records
// what it runs.
type plainRunner struct {
	rec    *record
	runner *runner
	work   time.Duration
	mu     sync.Mutex
	ran    []plainRun
	// leaving is true while the runner drains.
	leaving bool
}

// plainRun is a request that a plain runner has run.
type plainRun struct {
	id string
	at time.Time
}

func (x *plainRunner) serve(c *runnerConn, r *http.Request, _ []byte) error {
	id := r.Header.Get("X-Attempt-Id")
	x.mu.Lock()
	x.ran = append(x.ran, plainRun{id: id, at: time.Now()})
	leaving := x.leaving
	x.mu.Unlock()
	x.rec.say("runner %s of %s: runs %s %s %s", x.runner.id, x.runner.service, r.Method, r.URL.Path, id)
	load := x.runner.add(1)
	time.Sleep(x.work)
	x.runner.add(-1)
	header := map[string]string{"X-Attempt-Id": id, "X-Response-Stamp": "3e1b." + x.runner.id + "." + id, "X-Server-Load": load}
	if leaving {
		header["Connection"] = "close"
	}
	if err := c.respond(http.StatusOK, header, []byte("done by "+x.runner.service)); err != nil {
		return err
	}
	if leaving {
		return errLeaving
	}
	return nil
}

// errLeaving closes a connection to a runner that is leaving.
var errLeaving = errors.New("the runner is leaving")

func (x *plainRunner) leave() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leaving = true
}

func (x *plainRunner) runs() []plainRun {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.ran)
}
