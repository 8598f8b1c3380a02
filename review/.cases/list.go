package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// listed is one entry of the platform's list.
type listed struct {
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
	addr   string
	server *http.Server

	mu      sync.Mutex
	entries []listed
	// own are the addresses at which single control VMs read the list, by the
	// host part of their addresses; readAt is when each of them last did.
	own    map[int]string
	readAt map[int]time.Time
	// raw are entries of other writers, as they stand in the list.
	raw []string
}

func newRunnerList(addr string) (*runnerList, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &runnerList{addr: addr, own: map[int]string{}, readAt: map[int]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runners", l.serve)
	l.server = &http.Server{Handler: mux}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// listenFor gives a control VM an address of its own for the list, so that the
// platform sees which VM reads it.
func (l *runnerList) listenFor(host int, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.own[host] = addr
	l.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		l.readAt[host] = time.Now()
		l.mu.Unlock()
		l.serve(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	l.server.RegisterOnShutdown(func() { _ = server.Close() })
	return nil
}

// addrFor returns the address at which a VM reads the list.
func (l *runnerList) addrFor(host int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if addr := l.own[host]; addr != "" {
		return addr
	}
	return l.addr
}

// lastRead returns when a control VM last read the list.
func (l *runnerList) lastRead(host int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readAt[host]
}

func (l *runnerList) add(e listed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
}

// addRaw adds an entry of another writer.
func (l *runnerList) addRaw(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.raw = append(l.raw, entry)
}

// setState changes the state of a runner's entry.
func (l *runnerList) setState(id, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].ID == id {
			l.entries[i].State = state
		}
	}
}

// remove removes a runner's entry.
func (l *runnerList) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.DeleteFunc(l.entries, func(e listed) bool { return e.ID == id })
}

// serve answers with all entries. Those of other writers are passed on byte for
// byte.
func (l *runnerList) serve(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	l.mu.Lock()
	var instances [][]byte
	for _, e := range l.entries {
		if zone == "" || e.Zone == zone {
			b, err := json.Marshal(e)
			if err != nil {
				panic(err)
			}
			instances = append(instances, b)
		}
	}
	for _, entry := range l.raw {
		instances = append(instances, []byte(entry))
	}
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"instances":[`))
	_, _ = w.Write(bytes.Join(instances, []byte(",")))
	_, _ = w.Write([]byte(`],"next_token":null}`))
}

func (l *runnerList) close() { _ = l.server.Close() }
