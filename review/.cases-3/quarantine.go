package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// badPart is the part of a prompt that crashes each runner that begins to write an
	// answer on it, firstPart the one with which the prompts of the route begin.
	badPart   = "bad0bad0"
	firstPart = "5c1e07a2"
	// contact is contact_ms of the site.
	contact = 4 * time.Second
)

func init() {
	cases["same-id"] = func(p *play) (verdict, error) {
		c := &crashCase{play: p, runnerCount: 4, badEvery: 5 * time.Second, down: 3300 * time.Millisecond, length: 95 * time.Second, rate: 50, first: 20 * time.Millisecond, gap: time.Millisecond}
		return c.run(c.judgeReached)
	}
	cases["new-id"] = func(p *play) (verdict, error) {
		c := &crashCase{play: p, newID: true, runnerCount: 4, badEvery: 5 * time.Second, down: 3300 * time.Millisecond, length: 95 * time.Second, rate: 50, first: 20 * time.Millisecond, gap: time.Millisecond}
		return c.run(c.judgeReached)
	}
	cases["unframed"] = func(p *play) (verdict, error) {
		c := &crashCase{play: p, newID: true, unframed: true, runnerCount: 6, badEvery: 2 * time.Second, down: 2500 * time.Millisecond, length: 70 * time.Second, rate: 16, first: 150 * time.Millisecond, gap: 20 * time.Millisecond}
		return c.run(c.judgeSound)
	}
	cases["framed"] = func(p *play) (verdict, error) {
		c := &crashCase{play: p, newID: true, runnerCount: 6, badEvery: 2 * time.Second, down: 2500 * time.Millisecond, length: 70 * time.Second, rate: 16, first: 150 * time.Millisecond, gap: 20 * time.Millisecond}
		return c.run(c.judgeSound)
	}
}

// crashCase plays requests with a part that crashes runners among sound ones.
type crashCase struct {
	*play
	// newID gives a runner that starts again a new ID.
	newID    bool
	unframed bool
	// badEvery is the time between two requests with the bad part, down how long a
	// runner that has crashed is away.
	badEvery, down time.Duration
	length         time.Duration
	// rate is the number of sound requests a second. Their first event comes after
	// first, the others each after gap.
	rate        int
	first, gap  time.Duration
	runnerCount int

	mu       sync.Mutex
	system   *cluster
	list     *platform
	runners  []*runner
	crashes  []time.Time
	reached  []time.Time
	sound    []soundRequest
	badEnded time.Time
}

// soundRequest is the first attempt of a sound request.
type soundRequest struct {
	id    string
	at    time.Time
	began bool
}

const (
	crashZone    = "lagos-ikeja"
	crashService = "drafting-desk"
	crashHost    = "pule25.example"
	crashPath    = "/puxa400/2f"
)

func (c *crashCase) document() any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-brief", "host": crashHost, "path_prefix": "/puxa400/", "kind": "streaming", "timeout_ms": 6000, "slo_ms": 1400,
			"priority": 1, "service": crashService, "max_attempts": 1, "public": false, "session_affinity": true, "can_resume": false, "gap_aim_ms": 300,
		}},
		"services": []any{map[string]any{
			"name": crashService, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 331699, "kv_token_bytes": 18432, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// publishList makes the platform's list show the runners as they are. A runner that has
// crashed stays on it.
func (c *crashCase) publishList() {
	var list []instance
	for _, r := range c.runners {
		list = append(list, r.entry())
	}
	c.list.set(list)
}

// onRun is called when a request begins to run at a runner.
func (c *crashCase) onRun(r *runner, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	if !slices.Contains(sharedParts(req), badPart) {
		c.mu.Lock()
		for i := range c.sound {
			c.sound[i].began = c.sound[i].began || c.sound[i].id == id
		}
		c.mu.Unlock()
		return true
	}
	c.mu.Lock()
	c.reached = append(c.reached, time.Now())
	n := len(c.reached)
	c.mu.Unlock()
	if !c.trouble {
		c.rec.line("request %s with the part %s runs at %s (%d of them so far)", id, badPart, r.id, n)
		return true
	}
	c.rec.line("request %s with the part %s runs at %s, which crashes (%d of them so far)", id, badPart, r.id, n)
	r.crash()
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	time.AfterFunc(c.down, func() {
		r.mu.Lock()
		if c.newID {
			r.id = fmt.Sprintf("%s-%d", r.id[:4], r.starts+1)
		}
		r.mu.Unlock()
		if err := r.start(); err != nil {
			c.rec.line("runner %s does not start: %v", r.id, err)
		}
		c.publishList()
	})
	return false
}

func (c *crashCase) run(judge func() verdict) (verdict, error) {
	system, err := newCluster(c.rec, 3, 2, []string{crashZone})
	if err != nil {
		return cannotRun, err
	}
	c.system, c.list = system, &platform{}
	defer system.stopAll()
	engine := &engineAnswer{firstEvent: c.first, gap: c.gap, events: 13, unframed: c.unframed, onRun: c.onRun}
	for i := range c.runnerCount {
		c.runners = append(c.runners, &runner{
			rec: c.rec, service: crashService, addr: fmt.Sprintf("%s%d:8080", system.net, 151+i), zone: crashZone, slots: 64,
			id: fmt.Sprintf("i-%02d", i), serve: engine.serve,
		})
		if err := c.runners[i].start(); err != nil {
			return cannotRun, err
		}
	}
	c.publishList()
	c.list.listen(system.platform)
	if err := system.startAll(); err != nil {
		return cannotRun, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, startTimeout)
	defer cancel()
	if err := system.publish(ctx, c.document()); err != nil {
		return cannotRun, err
	}
	if err := system.awaitReady(ctx); err != nil {
		return cannotRun, err
	}
	c.rec.say("the deployment serves")
	c.traffic()
	return judge(), nil
}

// traffic sends the sound requests, and after 10 s one with the bad part each
// badEvery, to the entry VMs in turn.
func (c *crashCase) traffic() {
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(c.rate))
	defer ticker.Stop()
	began := time.Now()
	nextBad := began.Add(10 * time.Second)
	for n := 0; time.Since(began) < c.length; n++ {
		entry := c.system.entry[n%len(c.system.entry)]
		requests.Go(func() { c.sendSound(entry, n) })
		if now := time.Now(); now.After(nextBad) {
			nextBad = now.Add(c.badEvery)
			other := c.system.entry[(n/2)%len(c.system.entry)]
			requests.Go(func() { c.sendBad(other, n) })
		}
		<-ticker.C
	}
	requests.Wait()
	c.badEnded = time.Now()
}

func (c *crashCase) request(prefix string) *clientRequest {
	return &clientRequest{
		id: attemptID(), method: "POST", host: crashHost, path: crashPath, deadline: 6 * time.Second, body: `{"prompt":"text"}`,
		header: []string{"X-Model: m", "X-Token-Counts: 9190,52", "X-Prompt-Prefix: " + prefix},
	}
}

func (c *crashCase) sendSound(v *vm, n int) {
	r := c.request(fmt.Sprintf("%s:6300,%08x:800,%s:2090", firstPart, 0x91bd3f00+n%40, attemptID()))
	c.mu.Lock()
	c.sound = append(c.sound, soundRequest{id: r.id, at: time.Now()})
	c.mu.Unlock()
	a := send(fmt.Sprintf("%s:%d", v.ip, portCallers), r)
	c.rec.line("sound request %s to %s: %v", r.id, v.name, a)
}

func (c *crashCase) sendBad(v *vm, n int) {
	r := c.request(fmt.Sprintf("%s:6300,%08x:800,%s:300,%s:1790", firstPart, 0x91bd3f00+n%40, badPart, attemptID()))
	a := send(fmt.Sprintf("%s:%d", v.ip, portCallers), r)
	c.rec.line("request %s with the part %s to %s: %v", r.id, badPart, v.name, a)
}

// judgeReached checks that no more than three requests with the bad part have reached
// runners later than contact_ms after the fifth crash.
func (c *crashCase) judgeReached() verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.say("%d crashes, %d requests with the bad part ran", len(c.crashes), len(c.reached))
	if len(c.crashes) < 5 {
		return held
	}
	late := 0
	for _, at := range c.reached {
		if at.Sub(c.crashes[4]) > contact {
			late++
		}
	}
	c.rec.say("fifth crash at %.3f s; %d requests with the bad part ran later than %v after it; 3 are allowed", c.rec.since(c.crashes[4]), late, contact)
	if late > 3 {
		return broken
	}
	return held
}

// judgeSound checks that sound requests begin at the first attempt at least half as often
// from 2 x contact_ms after the fifth crash on (the last, if there are fewer) as before
// the first one.
func (c *crashCase) judgeSound() verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.say("%d crashes, %d requests with the bad part ran", len(c.crashes), len(c.reached))
	if len(c.crashes) == 0 {
		n, began := count(c.sound, c.rec.began, c.badEnded)
		c.rec.say("no crash; %d of %d sound requests began", began, n)
		return held
	}
	from := c.crashes[min(len(c.crashes), 5)-1].Add(2 * contact)
	before, beganBefore := count(c.sound, c.rec.began, c.crashes[0].Add(-time.Second))
	after, beganAfter := count(c.sound, from, c.badEnded.Add(-time.Second))
	c.rec.say("before the first crash %d of %d sound requests began; from %.3f s on %d of %d", beganBefore, before, c.rec.since(from), beganAfter, after)
	if before < 20 || after < 20 {
		return cannotRun
	}
	if float64(beganAfter)/float64(after) < 0.5*float64(beganBefore)/float64(before) {
		return broken
	}
	return held
}

func count(list []soundRequest, from, to time.Time) (n, began int) {
	for _, s := range list {
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		n++
		if s.began {
			began++
		}
	}
	return n, began
}
