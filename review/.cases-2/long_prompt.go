package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["long-prompt"] = runLongPrompt }

const (
	// badPart is the part that crashes runners.
	badPart = "badbadba"
	// promptParts is the number of parts of a prompt, badPosition where the bad part
	// stands.
	promptParts = 40
	badPosition = 35
	// downTime is how long a crashed runner is down.
	downTime = 2 * time.Second
	// soundFirst is how long only sound requests come, badTime how long the others
	// come, at these pauses.
	soundFirst  = 3 * time.Second
	badTime     = 24 * time.Second
	soundPause  = 250 * time.Millisecond
	badPause    = 400 * time.Millisecond
	fewBad      = 3
	enginesZone = 3
)

// crashingEngine is an engine that crashes when it begins to write an answer to a
// prompt with the bad part.
type crashingEngine struct {
	*runner
	crashes *crashLog
	trouble bool
	down    atomic.Bool
}

// crashLog holds when engines were reached by requests with the bad part, and when
// they crashed.
type crashLog struct {
	mu      sync.Mutex
	reached []time.Time
	crashed []time.Time
}

func (e *crashingEngine) check(w http.ResponseWriter, r *http.Request) bool {
	if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), badPart) {
		return false
	}
	e.crashes.mu.Lock()
	e.crashes.reached = append(e.crashes.reached, time.Now())
	e.crashes.mu.Unlock()
	e.rec.printf("%s is reached by %s, which has the bad part", e.id, r.Header.Get("X-Attempt-Id"))
	if !e.trouble {
		return false
	}
	time.Sleep(50 * time.Millisecond)
	if e.down.CompareAndSwap(false, true) {
		e.crashes.mu.Lock()
		e.crashes.crashed = append(e.crashes.crashed, time.Now())
		e.crashes.mu.Unlock()
		e.rec.printf("%s crashes", e.id)
		go func() {
			_ = e.server.Close()
			time.Sleep(downTime)
			if err := e.start(); err != nil {
				e.rec.printf("%s does not start again: %v", e.id, err)
				return
			}
			e.down.Store(false)
		}()
	}
	panic(http.ErrAbortHandler)
}

func chatRequest(parts []string, own string) *request {
	var prefix []string
	for _, p := range parts {
		prefix = append(prefix, p+":60")
	}
	prefix = append(prefix, own+":100")
	return &request{
		method: http.MethodPost, path: "/chat/2f", attempt: newAttempt(), body: "question",
		headers: []string{"X-Model: m", "X-Token-Counts: 2440,80", "X-Deadline-Ms: 6000", "X-Prompt-Prefix: " + strings.Join(prefix, ",")},
	}
}

func runLongPrompt(rec *record, trouble bool) (bool, error) {
	position := badPosition
	if p := os.Getenv("POSITION"); p != "" {
		position, _ = strconv.Atoi(p)
	}
	d, err := newDeployment(rec, controls, entries)
	if err != nil {
		return false, err
	}
	list, err := startList(d.listAddr())
	if err != nil {
		return false, err
	}
	crashes := &crashLog{}
	var engines []*crashingEngine
	for i := range enginesZone * len(zones) {
		e := &crashingEngine{crashes: crashes, trouble: trouble, runner: &runner{
			rec: rec, id: fmt.Sprintf("i-llm%d", i), service: "llm", addr: d.runnerAddr(i), zone: zones[i%len(zones)], slots: 64, gap: 30 * time.Millisecond, events: 10,
		}}
		e.before = e.check
		if err := e.start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	listed := make(chan struct{})
	defer close(listed)
	go func() {
		for {
			var shown []listEntry
			for _, e := range engines {
				shown = append(shown, e.entry(stateReady))
			}
			list.set(shown)
			select {
			case <-listed:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	if err := d.startAll(); err != nil {
		return false, err
	}
	err = d.publish(document(7, []object{
		route("r-chat", "/chat/", "streaming", "llm", 6000, object{"slo_ms": 1900, "session_affinity": true, "gap_aim_ms": 300}),
	}, []object{service("llm", object{"engine": engineSpec()})}))
	if err == nil {
		err = d.awaitReady()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	var parts []string
	for i := range promptParts - 1 {
		parts = append(parts, fmt.Sprintf("%08x", 0x5c1e0700+i))
	}
	bad := append([]string(nil), parts...)
	bad[position-1] = badPart
	var served, asked, number atomic.Int64
	var requests sync.WaitGroup
	sendOne := func(sound bool) {
		n := int(number.Add(1))
		q := chatRequest(parts, fmt.Sprintf("%08x", 0xe4400000+n))
		if !sound {
			q = chatRequest(bad, fmt.Sprintf("%08x", 0xe4400000+n))
		}
		requests.Go(func() {
			a := send(d.entry[n%len(d.entry)].addr(portFront), q, 7*time.Second)
			if sound {
				asked.Add(1)
				if a.err == nil && a.status == http.StatusOK {
					served.Add(1)
				}
			}
			rec.printf("client: %s (sound: %t): %v", q.attempt, sound, a)
		})
	}
	began := time.Now()
	lastBad := began.Add(soundFirst)
	for time.Since(began) < soundFirst+badTime {
		sendOne(true)
		if time.Since(lastBad) >= badPause {
			lastBad = time.Now()
			sendOne(false)
		}
		time.Sleep(soundPause)
	}
	requests.Wait()
	crashes.mu.Lock()
	defer crashes.mu.Unlock()
	late := 0
	if len(crashes.crashed) >= 5 {
		from := crashes.crashed[4].Add(contactTime)
		for _, at := range crashes.reached {
			if at.After(from) {
				late++
			}
		}
	}
	rec.printf("runners: %d crashes; %d requests with the bad part reached runners, %d of them over contact_ms after the fifth crash", len(crashes.crashed), len(crashes.reached), late)
	rec.printf("client: %d of %d sound requests served", served.Load(), asked.Load())
	return late > fewBad, nil
}
