package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// controls and entries are the numbers of machines.
	controls = 5
	entries  = 3
	// settleTime is how long the machines run before the first request.
	settleTime = 2 * time.Second
)

// Work of the stand-ins.
const (
	ledgerWork   = 30 * time.Millisecond
	stageWork    = 200 * time.Millisecond
	streamEvents = 10
	streamGap    = 30 * time.Millisecond
)

// staged is a deployment whose machines are ready, with one runner of each service in
// each zone.
type staged struct {
	*deployment
	runners []*runner
	list    *runnerList
}

// startStaged starts a deployment. Its machines are adjusted before they start.
func startStaged(rec *record, adjust ...func(*deployment)) (*staged, error) {
	d, err := newDeployment(rec, controls, entries)
	if err != nil {
		return nil, err
	}
	for _, f := range adjust {
		f(d)
	}
	list, err := startList(d.listAddr())
	if err != nil {
		return nil, err
	}
	s := &staged{deployment: d, list: list}
	if err := s.startRunners(); err != nil {
		return nil, err
	}
	list.set(s.listed())
	if err := d.startAll(); err != nil {
		return nil, err
	}
	if err := d.publish(stagedDocument()); err != nil {
		return nil, err
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return s, nil
}

func (s *staged) startRunners() error {
	for i, zone := range zones {
		addr := func(n int) string { return s.runnerAddr(3*i + n) }
		for _, rn := range []*runner{
			{id: fmt.Sprintf("i-roll%d", i), service: "roll", addr: addr(0), slots: 1, work: stageWork},
			{id: fmt.Sprintf("i-llm%d", i), service: "llm", addr: addr(1), slots: 64, gap: streamGap, events: streamEvents},
			{id: fmt.Sprintf("i-ledger%d", i), service: "ledger", addr: addr(2), slots: 6, work: ledgerWork},
		} {
			rn.rec, rn.zone = s.rec, zone
			if err := rn.start(); err != nil {
				return err
			}
			s.runners = append(s.runners, rn)
		}
	}
	return nil
}

// listed returns the entries of all runners.
func (s *staged) listed() []listEntry {
	var list []listEntry
	for _, rn := range s.runners {
		list = append(list, rn.entry(stateReady))
	}
	return list
}

func stagedDocument() object {
	return document(7, []object{
		route("r-brief", "/brief/", "streaming", "llm", 6000, object{
			"slo_ms": 1400, "session_affinity": true, "gap_aim_ms": 300,
			"stages": []object{{"service": "roll", "after": []int{}, "bytes": 1500000}},
		}),
		route("r-post", "/post/", "non_idempotent", "ledger", 1500, nil),
		route("r-look", "/look/", "idempotent", "ledger", 1500, object{"max_attempts": 2}),
	}, []object{
		service("llm", object{"engine": engineSpec()}), service("roll", object{"pieces": stageSpec()}), service("ledger", object{"max_conns": 100}),
	})
}

// deposit returns a request that may run once.
func deposit() *request {
	return &request{method: http.MethodPost, path: "/post/1", attempt: newAttempt(), body: "deposit", headers: []string{"X-Deadline-Ms: 3000"}}
}

// brief returns a request for a stream whose stage has a number of pieces.
func brief(pieces string) *request {
	return &request{
		method: http.MethodPost, path: "/brief/2f", attempt: newAttempt(), body: "notes",
		headers: []string{
			"X-Model: m", "X-Token-Counts: 1460,80", "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250",
			"X-Deadline-Ms: 6000", "X-Pieces: " + pieces, "X-Piece-Key: 7c1e07a291bd",
		},
	}
}
