package entry

import (
	"context"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/routing"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

const (
	// enginePollInterval is the time between two reads of an engine's cache
	// events.
	enginePollInterval = time.Second
	// cachePollsPerStatePoll is the number of cache event polls per poll of the
	// loaded models and adapters, which change only on load orders.
	cachePollsPerStatePoll = 5
)

// enginePoller reads cache events and loaded models from the engines for the
// router.
type enginePoller struct {
	runners *runners
	// pools returns the names of the engine pools.
	pools func() []string

	polls int

	mu sync.Mutex
	// lastSeq is the newest cache event seen, by engine address.
	lastSeq map[string]uint64
}

func newEnginePoller(r *runners, pools func() []string) *enginePoller {
	return &enginePoller{runners: r, pools: pools, lastSeq: make(map[string]uint64)}
}

// run polls until ctx ends.
func (p *enginePoller) run(ctx context.Context) {
	timer.Every(ctx, enginePollInterval, func() { p.pollAll(ctx) })
}

func (p *enginePoller) pollAll(ctx context.Context) {
	withState := p.polls%cachePollsPerStatePoll == 0
	p.polls++
	view := p.runners.members.View()
	for _, pool := range p.pools() {
		for _, u := range view.Pool(pool) {
			go p.pollEngine(ctx, u.Address, withState)
		}
	}
}

// pollEngine polls one engine. The router keeps the last known state of an
// engine that does not answer and discounts it by its age.
func (p *enginePoller) pollEngine(ctx context.Context, addr string, withState bool) {
	ctx, cancel := context.WithTimeout(ctx, enginePollInterval)
	defer cancel()
	if withState {
		p.readState(ctx, addr)
	}
	events, err := p.runners.client.CacheEvents(ctx, addr, p.lastSeen(addr))
	if err != nil || len(events) == 0 {
		return
	}
	p.runners.router.ObserveCache(addr, p.routingEvents(addr, events))
}

func (p *enginePoller) readState(ctx context.Context, addr string) {
	state, err := p.runners.client.State(ctx, addr)
	if err == nil {
		p.runners.router.ObserveModels(addr, state.Models, state.Adapters)
	}
}

func (p *enginePoller) lastSeen(addr string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSeq[addr]
}

// routingEvents converts cache events for the router and remembers the newest
// sequence number.
func (p *enginePoller) routingEvents(addr string, events []upstream.CacheEvent) []routing.CacheEvent {
	out := make([]routing.CacheEvent, 0, len(events))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range events {
		e := &events[i]
		hash, err := e.Hash()
		if err != nil {
			continue
		}
		p.lastSeq[addr] = max(p.lastSeq[addr], e.Seq)
		out = append(out, routing.CacheEvent{Seq: e.Seq, Stored: e.Stored(), Prefix: hash, At: time.UnixMilli(e.AtUnixMS)})
	}
	return out
}

// enginePools returns the names of the generate pools in the current settings.
func (s *Server) enginePools() []string {
	snap := s.subscriber.snapshot()
	if snap == nil || snap.tree == nil {
		return nil
	}
	var names []string
	for _, p := range snap.tree.Pools() {
		if p.Kind == settings.KindGenerate {
			names = append(names, p.Name)
		}
	}
	return names
}
