package entry

import (
	"context"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/routing"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

const (
	// engineInterval is the time between two reads of an engine's cache events.
	engineInterval = time.Second
	// stateEvery is the number of reads of cache events between two reads of
	// what the engine has loaded, which changes by orders only.
	stateEvery = 5
)

// enginePoller reads what the router needs to know of engines.
type enginePoller struct {
	runners *runners
	// pools gives the names of the pools of engines.
	pools func() []string

	polls int

	mu   sync.Mutex
	seen map[string]uint64
}

func newEnginePoller(r *runners, pools func() []string) *enginePoller {
	return &enginePoller{runners: r, pools: pools, seen: make(map[string]uint64)}
}

// run polls until ctx ends.
func (p *enginePoller) run(ctx context.Context) {
	tick := time.NewTicker(engineInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.poll(ctx)
		}
	}
}

func (p *enginePoller) poll(ctx context.Context) {
	withState := p.polls%stateEvery == 0
	p.polls++
	view := p.runners.members.View()
	for _, pool := range p.pools() {
		for _, u := range view.Pool(pool) {
			go p.read(ctx, u.Address, withState)
		}
	}
}

// read asks one engine. An engine that does not answer keeps its old picture;
// the router discounts it by its age.
func (p *enginePoller) read(ctx context.Context, addr string, withState bool) {
	ctx, cancel := context.WithTimeout(ctx, engineInterval)
	defer cancel()
	if withState {
		p.readState(ctx, addr)
	}
	events, err := p.runners.client.CacheEvents(ctx, addr, p.after(addr))
	if err != nil || len(events) == 0 {
		return
	}
	p.runners.router.ObserveCache(addr, p.take(addr, events))
}

func (p *enginePoller) readState(ctx context.Context, addr string) {
	state, err := p.runners.client.State(ctx, addr)
	if err == nil {
		p.runners.router.ObserveModels(addr, state.Models, state.Adapters)
	}
}

func (p *enginePoller) after(addr string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[addr]
}

// take turns events into the router's form and notes the newest.
func (p *enginePoller) take(addr string, events []upstream.CacheEvent) []routing.CacheEvent {
	out := make([]routing.CacheEvent, 0, len(events))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range events {
		e := &events[i]
		hash, err := e.Hash()
		if err != nil {
			continue
		}
		p.seen[addr] = max(p.seen[addr], e.Seq)
		out = append(out, routing.CacheEvent{Seq: e.Seq, Stored: e.Stored(), Prefix: hash, At: time.UnixMilli(e.AtUnixMS)})
	}
	return out
}

// generatePools gives the pools of engines in the current settings.
func (s *Server) generatePools() []string {
	snap := s.sub.snapshot()
	if snap == nil || snap.tree == nil {
		return nil
	}
	var names []string
	for _, p := range snap.tree.Pools() {
		if p.Kind == settings.Generate {
			names = append(names, p.Name)
		}
	}
	return names
}
