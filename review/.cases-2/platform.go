package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// States of runners in the list.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// listEntry is an entry of the platform's list of runners.
type listEntry struct {
	ID         string  `json:"id"`
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdLeftMS float64 `json:"cold_left_ms"`
	Born       int64   `json:"born"`
}

// runnerList is the platform's list of runners.
type runnerList struct {
	mu      sync.Mutex
	entries []listEntry
	// unreadable are entries of another writer that are no JSON.
	unreadable []string
	server     *http.Server
}

func startList(addr string) (*runnerList, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &runnerList{}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve)}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

func (l *runnerList) serve(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	l.mu.Lock()
	var entries []string
	for _, e := range l.entries {
		if zone == "" || e.Zone == zone {
			b, _ := json.Marshal(e)
			entries = append(entries, string(b))
		}
	}
	entries = append(entries, l.unreadable...)
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"instances":[`+strings.Join(entries, ",")+`],"next_token":null}`)
}

// setUnreadable adds entries of another writer to each page.
func (l *runnerList) setUnreadable(entries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreadable = entries
}

func (l *runnerList) set(entries []listEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

// anonymousMB returns the anonymous memory of a process, without the pages of its
// program, in MiB.
func anonymousMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb >> 10
		}
	}
	return 0
}

// memoryWatch is the platform's limit on memory: it kills a process that takes more
// and starts it again.
type memoryWatch struct {
	stop chan struct{}
	done sync.WaitGroup

	mu sync.Mutex
	// kills and peak are by the names of machines, peak in MiB.
	kills map[string]int
	peak  map[string]int
}

const (
	memoryCheck  = 5 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

func watchMemory(d *deployment) *memoryWatch {
	w := &memoryWatch{stop: make(chan struct{}), kills: map[string]int{}, peak: map[string]int{}}
	for _, m := range d.machines() {
		w.done.Go(func() { w.watch(m) })
	}
	return w
}

func (w *memoryWatch) watch(m *machine) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(memoryCheck):
		}
		pid := m.pid()
		if pid == 0 {
			continue
		}
		mb := anonymousMB(pid)
		w.mu.Lock()
		w.peak[m.name] = max(w.peak[m.name], mb)
		w.mu.Unlock()
		if mb <= m.memoryMB {
			continue
		}
		m.d.rec.printf("platform: %s uses %d MiB, over its %d MiB: killed", m.name, mb, m.memoryMB)
		w.mu.Lock()
		w.kills[m.name]++
		w.mu.Unlock()
		m.signal(syscall.SIGKILL)
		m.awaitEnd(5 * time.Second)
		time.Sleep(restartDelay)
		if err := m.start(false); err != nil {
			m.d.rec.printf("platform: %s does not start: %v", m.name, err)
			return
		}
	}
}

// close ends the watch and returns the number of kills and the highest memory of each
// machine.
func (w *memoryWatch) close() (kills, peak map[string]int) {
	close(w.stop)
	w.done.Wait()
	return w.kills, w.peak
}
