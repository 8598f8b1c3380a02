package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// listLag is how much later the platform's list shows what is so.
const listLag = 800 * time.Millisecond

// instance is an entry of the platform's list.
type instance struct {
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdLeftMS float64 `json:"cold_left_ms"`
	Stage      string  `json:"stage,omitempty"`
	Models     []model `json:"models,omitempty"`
	ID         string  `json:"id"`
	Born       int64   `json:"born"`
}

type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// platform serves the list of runners, which lags.
type platform struct {
	mu     sync.Mutex
	states []listState
	server *http.Server
	// odd are entries of another writer.
	odd []json.RawMessage
}

type listState struct {
	at   time.Time
	list []instance
}

// set makes the list show what is so from now on, after its lag.
func (p *platform) set(list []instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states = append(p.states, listState{time.Now(), append([]instance{}, list...)})
}

// shown returns the list as it is shown now.
func (p *platform) shown() []instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []instance
	for i, s := range p.states {
		if i == 0 || time.Since(s.at) >= listLag {
			list = s.list
		}
	}
	return list
}

// ServeHTTP answers GET /runners.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	answer := struct {
		Instances []any   `json:"instances"`
		NextToken *string `json:"next_token"`
	}{Instances: []any{}}
	for _, i := range p.shown() {
		if zone == "" || zone == i.Zone {
			answer.Instances = append(answer.Instances, i)
		}
	}
	for _, raw := range p.odd {
		answer.Instances = append(answer.Instances, raw)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (p *platform) listen(addr string) {
	p.server = &http.Server{Addr: addr, Handler: p}
	go func() { _ = p.server.ListenAndServe() }()
}
