package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// stageItem is one piece of a call to a stage's runner.
type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	LeftMS int64    `json:"left_ms"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// stageResult is the result of one piece.
type stageResult struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// results are the results that the stage runners of a case hold, with the piece
// for which each was made.
type results struct {
	mu    sync.Mutex
	made  int
	owner map[string]stageItem
}

func newResults() *results { return &results{owner: map[string]stageItem{}} }

// add stores the result of a piece and returns its handle.
func (r *results) add(addr string, item stageItem) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made++
	handle := fmt.Sprintf("%s/%011x", addr, 0x5c1e07a2e44+r.made*7919)
	r.owner[handle] = item
	// A result does not outlive its retention.
	time.AfterFunc(stageRetention, func() { r.free([]string{handle}) })
	return handle
}

func (r *results) free(handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		delete(r.owner, h)
	}
}

// ownerOf returns the piece for which a result was made.
func (r *results) ownerOf(handle string) (stageItem, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	item, ok := r.owner[handle]
	return item, ok
}

const (
	stageCallTime  = 200 * time.Millisecond
	stagePieceTime = 21 * time.Millisecond
	stageRetention = 4 * time.Second
)

// stageRunner is a sound runner of a stage, apart from what answer changes.
type stageRunner struct {
	rec     *record
	results *results
	runner  *runner
	// slot is held by the call that is worked on: the runner has one slot.
	slot sync.Mutex
	// write writes the answer to a call; nil for a sound runner.
	write func(c *runnerConn, items []stageItem, answer func([]stageResult) []byte) error
	// before is called when the call's turn has come, before the work; nil for a
	// sound runner.
	before func(c *runnerConn) error
}

func (x *stageRunner) serve(c *runnerConn, r *http.Request, body []byte) error {
	switch r.URL.Path {
	case "/-/stage-free":
		var in struct{ Handles []string }
		if err := json.Unmarshal(body, &in); err != nil {
			return err
		}
		x.results.free(in.Handles)
		return c.respond(http.StatusOK, nil, nil)
	case "/-/stage-run":
		return x.run(c, body)
	}
	return c.respond(http.StatusNotFound, map[string]string{"X-Not-Executed": "1"}, nil)
}

func (x *stageRunner) run(c *runnerConn, body []byte) error {
	var in struct{ Items []stageItem }
	if err := json.Unmarshal(body, &in); err != nil {
		return err
	}
	if x.before != nil {
		if err := x.before(c); err != nil {
			return err
		}
	}
	x.slot.Lock()
	load := x.runner.add(1)
	time.Sleep(stageCallTime + time.Duration(len(in.Items))*stagePieceTime)
	x.runner.add(-1)
	x.slot.Unlock()
	answer := func(list []stageResult) []byte {
		b, err := json.Marshal(map[string]any{"items": list})
		if err != nil {
			panic(err)
		}
		return encodeResponse(http.StatusOK, map[string]string{"Content-Type": "application/json", "X-Server-Load": load}, b)
	}
	if x.write != nil {
		return x.write(c, in.Items, answer)
	}
	_, err := c.Write(answer(x.complete(in.Items)))
	return err
}

// complete makes the results of a call's pieces.
func (x *stageRunner) complete(items []stageItem) []stageResult {
	var list []stageResult
	var said []string
	for _, item := range items {
		handle := x.results.add(x.runner.addr, item)
		list = append(list, stageResult{Handle: handle})
		said = append(said, fmt.Sprintf("%s piece %d -> %s", item.ID, item.Piece, handle))
	}
	x.rec.say("stage runner %s: ran %s", x.runner.id, strings.Join(said, ", "))
	return list
}
