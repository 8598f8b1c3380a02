package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stage-copy"] = playStageCopy }

const (
	adviceHost = "jepu9.example"
	advicePath = "/cufi501/fi50/"
)

// adviceDocument has one streaming route with one stage.
func adviceDocument(version int) *document {
	d := newDocument(version)
	d.Routes = []map[string]any{{
		"name": "r-h5mgjy5", "host": adviceHost, "path_prefix": advicePath, "kind": "streaming", "timeout_ms": 6000, "slo_ms": 2300, "priority": 0,
		"service": "huvo11a", "max_attempts": 2, "public": false, "session_affinity": true, "can_resume": true, "gap_aim_ms": 300,
		"stages": []map[string]any{{"service": "kafi81c", "after": []int{}, "bytes": 150000}},
	}}
	d.Services = []map[string]any{
		{
			"name": "huvo11a", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 331699, "kv_token_bytes": 18432, "link_mbps": 280000.0, "handle_s": 5.0},
		},
		{
			"name": "kafi81c", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
			"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 200.0, "item_ms": 21.0, "headroom_mb": 18.0, "handle_s": 4.0, "link_mbps": 10000},
		},
	}
	return d
}

// adviceCall returns a request of the route with a number of pieces.
func adviceCall(id string, pieces int) *call {
	return &call{
		id: id, method: http.MethodPost, host: adviceHost, path: advicePath + "2f", deadline: 6 * time.Second,
		header: map[string]string{
			"X-Model": "m", "X-Token-Counts": "1460,80", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + id[:8] + ":250",
			"X-Pieces": fmt.Sprint(pieces), "X-Piece-Key": "k" + id,
		},
		body: "{}",
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// playStageCopy has ten of eighteen stage runners answer some calls with the reason
// "error" for all pieces. In trouble, they also send a second copy of such an answer
// late, when they have read the next call of the connection. Rule MIXED: no request
// may be given results of another one.
func playStageCopy(s *system, trouble bool) (broken bool, err error) {
	const (
		// failEvery has each such call answered with errors, copyEvery each such
		// failed call answered twice.
		failEvery = 34
		length    = 80 * time.Second
		clients   = 32
		runners   = 18
		// faulty of the runners are in trouble, for troubleTime at a time and again
		// every troubleEvery.
		faulty       = 10
		troubleTime  = 5 * time.Second
		troubleEvery = 6 * time.Second
	)
	began := time.Now()
	inTrouble := func() bool { return trouble && time.Since(began)%troubleEvery < troubleTime }
	res := newResults()
	var calls, copies atomic.Int64
	for n := range runners {
		x := &stageRunner{rec: s.rec, results: res}
		var mu sync.Mutex
		owed := map[*runnerConn][]byte{}
		x.before = func(c *runnerConn) error {
			mu.Lock()
			b := owed[c]
			delete(owed, c)
			mu.Unlock()
			if b == nil {
				return nil
			}
			copies.Add(1)
			s.rec.say("stage runner %s: sends the answer before a second time", x.runner.id)
			_, err := c.Write(b)
			return err
		}
		x.write = func(c *runnerConn, items []stageItem, answer func([]stageResult) []byte) error {
			if n >= faulty || calls.Add(1)%failEvery != 0 {
				_, err := c.Write(answer(x.complete(items)))
				return err
			}
			list := make([]stageResult, len(items))
			for i := range list {
				list[i].Reason = "error"
				s.rec.say("stage runner %s: fails %s piece %d", x.runner.id, items[i].ID, items[i].Piece)
			}
			b := answer(list)
			if inTrouble() {
				mu.Lock()
				owed[c] = b
				mu.Unlock()
			}
			_, err := c.Write(b)
			return err
		}
		if x.runner, err = s.addRunner(101+n, fmt.Sprintf("i-stage-%d", n), "kafi81c", 1, x.serve); err != nil {
			return false, err
		}
	}
	var engines []*engine
	for n := range 4 {
		e := &engine{rec: s.rec, results: res, events: 4, gap: 20 * time.Millisecond}
		if e.runner, err = s.addRunner(131+n, fmt.Sprintf("i-engine-%d", n), "huvo11a", 64, e.serve); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := s.startServing(2, adviceDocument(7)); err != nil {
		return false, err
	}
	var served atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(length)
	for n := range clients {
		all.Go(func() {
			v := s.entries[n%len(s.entries)]
			c := &client{addr: s.addr(v.host, s.ports.callers)}
			defer c.close()
			for time.Now().Before(end) {
				k := adviceCall(newID(), 1)
				a := c.do(k)
				s.rec.say("client %d: %s at %s gets %v", n, k.id, v.name, a)
				if a.status == http.StatusOK && a.err == nil {
					served.Add(1)
				}
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	all.Wait()
	foreign := 0
	for _, e := range engines {
		foreign += e.foreign
	}
	s.rec.say("%d requests served, %d calls of the faulty stage runners, %d answers sent twice, %d requests with results of others", served.Load(), calls.Load(), copies.Load(), foreign)
	if served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return foreign > 0, nil
}
