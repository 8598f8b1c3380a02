package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["odd-entry"] = func(p *play) (verdict, error) {
		c := &oddEntryCase{play: p}
		return c.run()
	}
}

// oddEntryLength is how long the clients send, oddEntryEvery the time between two requests.
const (
	oddEntryLength = 20 * time.Second
	oddEntryEvery  = 50 * time.Millisecond
)

// oddEntryCase plays an entry of the list that comes from another writer: one of its fields
// has another type, and it names a runner of another service.
type oddEntryCase struct {
	*play

	mu sync.Mutex
	// foreign are the requests that the runner of the other service has run, right those
	// that were run as the configuration allows.
	foreign, right int
	// answered are the foreign runs whose answer a client got as a success.
	answered int
}

const (
	otherService = "review-desk"
	otherID      = "i-90"
)

// serveOther answers each request with a stream, as an engine does.
func (c *oddEntryCase) serveOther(r *runner, conn net.Conn, req *http.Request, body []byte) (keep bool) {
	engine := &engineAnswer{firstEvent: 60 * time.Millisecond, gap: 5 * time.Millisecond, events: 13, onRun: func(*runner, *http.Request) bool {
		c.mu.Lock()
		c.foreign++
		c.mu.Unlock()
		c.rec.line("request %s of the route to %s runs at %s, a runner of %s", req.Header.Get("X-Attempt-Id"), crashService, r.id, otherService)
		return true
	}}
	return engine.serve(r, conn, req, body)
}

func (c *oddEntryCase) run() (verdict, error) {
	system, err := newCluster(c.rec, 3, 2, []string{crashZone})
	if err != nil {
		return cannotRun, err
	}
	defer system.stopAll()
	list := &platform{}
	engine := &engineAnswer{firstEvent: 60 * time.Millisecond, gap: 5 * time.Millisecond, events: 13, onRun: func(*runner, *http.Request) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.right++
		return true
	}}
	var entries []instance
	for i := range 4 {
		r := &runner{rec: c.rec, service: crashService, addr: fmt.Sprintf("%s%d:8080", system.net, 151+i), zone: crashZone, slots: 64, id: fmt.Sprintf("i-%02d", i), serve: engine.serve}
		if err := r.start(); err != nil {
			return cannotRun, err
		}
		entries = append(entries, r.entry())
	}
	other := &runner{rec: c.rec, service: otherService, addr: system.net + "171:8080", zone: crashZone, slots: 64, id: otherID, serve: c.serveOther}
	if err := other.start(); err != nil {
		return cannotRun, err
	}
	list.set(append(entries, other.entry()))
	if c.trouble {
		odd := oddEntry(os.Getenv("ODD"), other)
		list.odd = []json.RawMessage{json.RawMessage(odd)}
		c.rec.say("the list holds this entry: %s", odd)
	}
	list.listen(system.platform)
	if err := system.startAll(); err != nil {
		return cannotRun, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, startTimeout)
	defer cancel()
	document := (&crashCase{}).document().(map[string]any)
	document["services"] = append(document["services"].([]any), map[string]any{
		"name": otherService, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kv_capacity": 331699, "kv_token_bytes": 18432, "models": []any{map[string]any{"name": "m"}}},
	})
	if err := system.publish(ctx, document); err != nil {
		return cannotRun, err
	}
	if err := system.awaitReady(ctx); err != nil {
		return cannotRun, err
	}
	c.rec.say("the deployment serves")
	c.traffic(system)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.say("%d requests ran at runners of %s, %d at one of %s; clients got %d answers of that one as successes", c.right, crashService, c.foreign, otherService, c.answered)
	switch {
	case c.foreign > 0:
		return broken, nil
	case c.right == 0:
		return cannotRun, nil
	}
	return held, nil
}

// oddEntry returns an entry that names no runner to use. It stands under the service of the
// engines and has the ID and the address of a runner of another service. kind says what is
// odd about it.
func oddEntry(kind string, other *runner) string {
	service, address, stage, models := "service", "address", `"both"`, `"m"`
	sound := `[{"name":"m","version":1,"adapters":[]}]`
	switch kind {
	case "missing": // neither stage nor models
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":64,"state":"ready","cold_left_ms":0,"id":%q,"born":%d}`,
			crashService, other.addr, crashZone, otherID, other.entry().Born)
	case "stage": // a stage of another type
		stage, models = "7", sound
	case "names": // SERVICE and Address in place of service and address
		service, address, models = "SERVICE", "Address", sound
	}
	return fmt.Sprintf(`{%q:%q,%q:%q,"zone":%q,"version":"v1","slots":64,"state":"ready","cold_left_ms":0,"stage":%s,"models":%s,"id":%q,"born":%d}`,
		service, crashService, address, other.addr, crashZone, stage, models, otherID, other.entry().Born)
}

// traffic sends requests to the entry VMs in turn.
func (c *oddEntryCase) traffic(system *cluster) {
	var all sync.WaitGroup
	end := time.Now().Add(oddEntryLength)
	requests := &crashCase{}
	for n := 0; time.Now().Before(end); n++ {
		entry := system.entry[n%len(system.entry)]
		all.Go(func() {
			r := requests.request(fmt.Sprintf("%s:6300,%08x:800,%s:2090", firstPart, 0x91bd3f00+n%40, attemptID()))
			a := send(fmt.Sprintf("%s:%d", entry.ip, portCallers), r)
			c.rec.line("request %s to %s: %v", r.id, entry.name, a)
			if a.complete && a.status == http.StatusOK && strings.HasPrefix(a.header.Get("X-Response-Stamp"), otherID) {
				c.mu.Lock()
				c.answered++
				c.mu.Unlock()
			}
		})
		time.Sleep(oddEntryEvery)
	}
	all.Wait()
}
