package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request at a runner.
type run struct {
	attempt string
	runner  string
	at      time.Time
}

// runner is a stand-in of one runner.
type runner struct {
	rec     *record
	id      string
	service string
	addr    string
	zone    string
	slots   int
	born    int64
	// work is how long a request takes, gap the time between two events of a stream.
	work   time.Duration
	gap    time.Duration
	events int
	server *http.Server
	// before, if not nil, is called for each request before it runs. It returns true
	// if it has answered.
	before func(w http.ResponseWriter, r *http.Request) bool

	handles atomic.Int64

	mu   sync.Mutex
	runs []run
}

func (rn *runner) entry(state string) listEntry {
	return listEntry{ID: rn.id, Service: rn.service, Address: rn.addr, Zone: rn.zone, Version: "v1", Slots: rn.slots, State: state, Born: rn.born}
}

func (rn *runner) start() error {
	listener, err := net.Listen("tcp", rn.addr)
	if err != nil {
		return err
	}
	rn.born = time.Now().UnixMilli()
	rn.server = &http.Server{Handler: http.HandlerFunc(rn.serve)}
	go func() { _ = rn.server.Serve(listener) }()
	return nil
}

func (rn *runner) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != rn.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Instance-Id", rn.id)
	switch r.URL.Path {
	case "/-/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": []any{}, "born": rn.born, "queued": 0, "running": 0})
		return
	case "/-/stage-run":
		rn.stageRun(w, r)
		return
	case "/-/stage-free":
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
		return
	case "/-/hold-take":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if rn.before != nil && rn.before(w, r) {
		return
	}
	rn.mu.Lock()
	rn.runs = append(rn.runs, run{attempt: attempt, runner: rn.id, at: time.Now()})
	rn.mu.Unlock()
	rn.rec.printf("%s runs %s (%s %s, %d bytes, tenant %s)", rn.id, attempt, r.Method, r.RequestURI, len(body), r.Header.Get("X-Tenant"))
	w.Header().Set("X-Response-Stamp", rn.id+"."+attempt)
	if rn.events > 0 {
		rn.stream(w, r)
		return
	}
	select {
	case <-time.After(rn.work):
	case <-r.Context().Done():
		rn.rec.printf("%s: the connection of %s has closed", rn.id, attempt)
		return
	}
	fmt.Fprintf(w, "done %s at %s\n", attempt, rn.id)
}

func (rn *runner) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= rn.events; n++ {
		select {
		case <-time.After(rn.gap):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 40))
		_ = control.Flush()
	}
}

// stageRun answers a call for pieces.
func (rn *runner) stageRun(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Items []struct {
			ID    string `json:"id"`
			Stage int    `json:"stage"`
			Piece int    `json:"piece"`
		} `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(rn.work)
	type item struct {
		Handle string `json:"handle"`
	}
	var out struct {
		Items []item `json:"items"`
	}
	for range in.Items {
		out.Items = append(out.Items, item{Handle: fmt.Sprintf("%s/%x%04x", rn.addr, rn.born, rn.handles.Add(1))})
	}
	_ = json.NewEncoder(w).Encode(out)
}

// runsOf returns the runs of an attempt at these runners.
func runsOf(runners []*runner, attempt string) []run {
	var list []run
	for _, rn := range runners {
		rn.mu.Lock()
		for _, x := range rn.runs {
			if x.attempt == attempt {
				list = append(list, x)
			}
		}
		rn.mu.Unlock()
	}
	return list
}
