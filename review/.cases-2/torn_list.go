package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["torn-list"] = runTornList }

const (
	// unreadableEntries is the number of entries of another writer on a page.
	unreadableEntries = 40
	// drainTime is drain_ms. endTime is when the runner that leaves ends.
	drainTime = 4 * time.Second
	endTime   = 7 * time.Second
	// drainWatch is how long requests come after the list shows a runner as draining.
	drainWatch   = 10 * time.Second
	drainPause   = 150 * time.Millisecond
	longStream   = 40
	longGap      = 50 * time.Millisecond
	streamsLimit = 7 * time.Second
)

// runTornList has the platform's list show one engine as draining, and with trouble at
// the same moment entries whose bytes cannot be read. The engine serves on for 7 s and
// ends.
func runTornList(rec *record, trouble bool) (bool, error) {
	number := unreadableEntries
	if n, err := strconv.Atoi(os.Getenv("ENTRIES")); err == nil {
		number = n
	}
	d, err := startStaged(rec)
	if err != nil {
		return false, err
	}
	var listed []listEntry
	var leaving *runner
	for _, rn := range d.runners {
		state := stateReady
		if rn.service == "llm" {
			rn.events, rn.gap = longStream, longGap
			if leaving == nil {
				leaving, state = rn, stateDraining
			}
		}
		listed = append(listed, rn.entry(state))
	}
	if trouble {
		var torn []string
		for i := range number {
			torn = append(torn, fmt.Sprintf(`{"id":"x-%d","service":"other","address":"127.9.9.%d:80`, i, i))
		}
		d.list.setUnreadable(torn)
	}
	d.list.set(listed)
	shown := time.Now()
	rec.printf("platform: the list shows %s as draining; unreadable entries on each page: %t", leaving.id, trouble)
	end := time.AfterFunc(endTime, func() {
		rec.printf("platform: %s ends", leaving.id)
		_ = leaving.server.Close()
	})
	defer end.Stop()
	var requests sync.WaitGroup
	var lost atomic.Int64
	sendOne := func(i int) {
		requests.Go(func() {
			q := brief("1")
			m := d.entry[i%len(d.entry)]
			a := send(m.addr(portFront), q, streamsLimit)
			if a.err != nil || a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
				lost.Add(1)
			}
			rec.printf("client: %s to %s: %v", q.attempt, m.name, a)
		})
	}
	for i := 0; time.Since(shown) < drainWatch; i++ {
		sendOne(i)
		time.Sleep(drainPause)
	}
	requests.Wait()
	late := 0
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for _, x := range leaving.runs {
		if behind := x.at.Sub(shown); behind > drainTime {
			late++
		}
	}
	rec.printf("%s: %d requests have run, %d of them later than drain_ms after the list showed it as draining", leaving.id, len(leaving.runs), late)
	rec.printf("client: %d requests were cut or failed", lost.Load())
	return late > 0, nil
}
