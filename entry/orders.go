package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/fence"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

const (
	// orderInterval is the time between two looks for engines that lack a
	// model or adapter.
	orderInterval = 5 * time.Second
	// orderTerm is how long the right to give orders to one engine lasts.
	orderTerm = 10 * time.Second
	// drawTries bounds the draws of the weight store's budget for one order.
	drawTries = 5
)

// errTermOver stops an order whose right may have passed to another VM.
var errTermOver = errors.New("the right to give orders is over")

// orderGiver has the engines of this region load what the pipelines need.
type orderGiver struct{ s *Server }

// run looks for missing models until ctx ends.
func (g *orderGiver) run(ctx context.Context) {
	tick := time.NewTicker(orderInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.look(ctx)
		}
	}
}

// look gives at most one order to each engine of this region.
func (g *orderGiver) look(ctx context.Context) {
	snap := g.s.sub.snapshot()
	if !snap.current(time.Now()) {
		return
	}
	view := g.s.runners.members.View()
	for _, pool := range snap.tree.Pools() {
		wanted := wantedLoads(snap.tree, pool.Name)
		if pool.Kind != settings.Generate || len(wanted) == 0 {
			continue
		}
		for _, u := range view.Pool(pool.Name) {
			if u.Region != g.s.opts.Region || !u.Usable(time.Now()) {
				continue
			}
			if err := g.supply(ctx, snap, &pool, u.Address, wanted); err != nil && ctx.Err() == nil {
				g.s.log.Warn().Err(err).Str("upstream", u.Address).Msg("entry: an order was not given")
			}
		}
	}
}

// loadWant is a model or an adapter that an engine should have.
type loadWant struct{ kind, name string }

// wantedLoads lists what the pipelines ask of a pool.
func wantedLoads(tree *settings.Tree, pool string) []loadWant {
	var wanted []loadWant
	add := func(w loadWant) {
		if w.name != "" && !slices.Contains(wanted, w) {
			wanted = append(wanted, w)
		}
	}
	for _, p := range tree.Pipelines() {
		for _, st := range p.Stages {
			if st.Pool == pool {
				add(loadWant{upstream.OrderLoadModel, st.Model})
				add(loadWant{upstream.OrderLoadAdapter, st.Adapter})
			}
		}
	}
	return wanted
}

// missing gives the first wanted load that an engine neither has nor is
// loading.
func missing(state *upstream.EngineState, wanted []loadWant) (loadWant, bool) {
	for _, w := range wanted {
		have := state.Models
		if w.kind == upstream.OrderLoadAdapter {
			have = state.Adapters
		}
		if !slices.Contains(have, w.name) && !slices.Contains(state.Loading, w.name) {
			return w, true
		}
	}
	return loadWant{}, false
}

// supply orders an engine to load what it lacks.
func (g *orderGiver) supply(ctx context.Context, snap *snapshot, pool *settings.Pool, addr string, wanted []loadWant) error {
	state, err := g.s.client.State(ctx, addr)
	if err != nil {
		return fmt.Errorf("read state: %w", err)
	}
	if len(state.Models) == 0 {
		// An engine without a list of models serves any.
		return nil
	}
	if _, lacks := missing(&state, wanted); !lacks {
		return nil
	}
	right, err := g.acquire(ctx, snap.session, addr)
	if err != nil || right == nil {
		return err
	}
	defer right.drop(ctx)
	if err := right.settle(ctx, pool.ChecksFencing); err != nil {
		return err
	}
	if state, err = g.s.client.State(ctx, addr); err != nil {
		return fmt.Errorf("read state back: %w", err)
	}
	want, lacks := missing(&state, wanted)
	if !lacks {
		return nil
	}
	if want.kind == upstream.OrderLoadModel {
		if err := g.draw(ctx, snap); err != nil {
			return err
		}
	}
	return right.order(ctx, want)
}

// orderRight is the right to give orders to one engine.
type orderRight struct {
	g       *orderGiver
	session ids.SessionID
	addr    string
	token   uint64
	wait    time.Duration
	until   time.Time
}

// acquire asks for the right; nil means that another VM holds it. The term is
// counted from before the proposal.
func (g *orderGiver) acquire(ctx context.Context, session ids.SessionID, addr string) (*orderRight, error) {
	sent := time.Now()
	cmd := command.Command{Acquire: &command.Acquire{
		Upstream: addr, Session: session, TermMS: uint32(orderTerm.Milliseconds()), Nonce: rand.Uint64(),
	}}
	res, err := g.s.opts.Control.Propose(ctx, ids.SettingsGroup, cmd)
	if err != nil {
		return nil, fmt.Errorf("acquire: %w", err)
	}
	if res.Code != command.OK {
		return nil, nil
	}
	wait := time.Duration(res.WaitMS) * time.Millisecond
	return &orderRight{g: g, session: session, addr: addr, token: res.Fence, wait: wait, until: sent.Add(orderTerm)}, nil
}

// settle waits until no order of an earlier holder can arrive any more, at an
// engine that would not refuse it by its token.
func (r *orderRight) settle(ctx context.Context, checksFencing bool) error {
	if checksFencing || r.wait == 0 {
		return nil
	}
	select {
	case <-time.After(r.wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// guard is checked directly before the first byte of an order.
func (r *orderRight) guard() error {
	now := time.Now()
	if now.After(r.until) || !r.g.s.sub.snapshot().owns(r.session, now) {
		return errTermOver
	}
	return nil
}

// order gives the order.
func (r *orderRight) order(ctx context.Context, w loadWant) error {
	o := upstream.Order{Kind: w.kind, FencingToken: r.token, ExpiresUnixMS: time.Now().Add(fence.OrderExpiry).UnixMilli()}
	if w.kind == upstream.OrderLoadModel {
		o.Model = w.name
	} else {
		o.Adapter = w.name
	}
	if err := r.g.s.client.Order(ctx, r.addr, o, r.guard); err != nil {
		return fmt.Errorf("%s %s: %w", w.kind, w.name, err)
	}
	r.g.s.log.Info().Str("upstream", r.addr).Str("order", w.kind).Str("name", w.name).Msg("entry: order given")
	return nil
}

func (r *orderRight) drop(ctx context.Context) {
	cmd := command.Command{Drop: &command.Drop{Upstream: r.addr, Number: r.token}}
	if _, err := r.g.s.opts.Control.Propose(ctx, ids.SettingsGroup, cmd); err != nil && ctx.Err() == nil {
		r.g.s.log.Warn().Err(err).Msg("entry: the right to give orders was not given back and runs out by itself")
	}
}

// draw takes one second of the weight store's budget, so that all VMs together
// start loads no faster than the store can serve them.
func (g *orderGiver) draw(ctx context.Context, snap *snapshot) error {
	cmd := command.Command{DrawWeights: &command.DrawWeights{
		Session: snap.session, Bytes: uint64(snap.tree.Int("", settings.WeightStoreRate)), Nonce: rand.Uint64(),
	}}
	for range drawTries {
		res, err := g.s.opts.Control.Propose(ctx, ids.SettingsGroup, cmd)
		if err != nil {
			return fmt.Errorf("weight store budget: %w", err)
		}
		if res.Code != command.RateExhausted {
			return codeError(&res)
		}
		select {
		case <-time.After(time.Duration(res.WaitMS) * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.New("weight store budget: used up; the next look tries again")
}

func codeError(res *command.Result) error {
	if res.Code == command.OK {
		return nil
	}
	return fmt.Errorf("weight store budget: code %d: %s", res.Code, res.Detail)
}
