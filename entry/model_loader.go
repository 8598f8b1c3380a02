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
	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

const (
	// loadCheckInterval is the time between two checks for engines that lack a
	// model or adapter.
	loadCheckInterval = 5 * time.Second
	// orderLeaseTerm is the term of the lease for sending orders to one engine.
	orderLeaseTerm = 10 * time.Second
	// maxBudgetTries limits the attempts to reserve weight store budget for one
	// order.
	maxBudgetTries = 5
)

// errOrderLeaseLost stops an order when another VM may hold the lease by now.
var errOrderLeaseLost = errors.New("the order lease or its session has ended")

// modelLoader orders the engines of this region to load the models and adapters
// that the pipelines need. For each engine, only the VM that holds the order
// lease sends orders.
type modelLoader struct{ s *Server }

// run checks for missing models and adapters until ctx ends.
func (l *modelLoader) run(ctx context.Context) {
	timer.Every(ctx, loadCheckInterval, func() { l.loadMissing(ctx) })
}

// loadMissing sends at most one order to each engine of this region.
func (l *modelLoader) loadMissing(ctx context.Context) {
	snap := l.s.subscriber.snapshot()
	if !snap.current(time.Now()) {
		return
	}
	view := l.s.runners.members.View()
	for _, pool := range snap.tree.Pools() {
		required := requiredLoads(snap.tree, pool.Name)
		if pool.Kind != settings.KindGenerate || len(required) == 0 {
			continue
		}
		for _, u := range view.Pool(pool.Name) {
			if u.Region != l.s.opts.Region || !u.Usable(time.Now()) {
				continue
			}
			if err := l.loadInto(ctx, snap, &pool, u.Address, required); err != nil && ctx.Err() == nil {
				l.s.log.Warn().Err(err).Str("upstream", u.Address).Msg("entry: load order failed")
			}
		}
	}
}

// requiredLoad is a model or adapter that an engine should have loaded. kind is
// the kind of the order that loads it.
type requiredLoad struct{ kind, name string }

// requiredLoads returns the models and adapters that the pipelines need in a
// pool.
func requiredLoads(tree *settings.Tree, pool string) []requiredLoad {
	var loads []requiredLoad
	add := func(load requiredLoad) {
		if load.name != "" && !slices.Contains(loads, load) {
			loads = append(loads, load)
		}
	}
	for _, p := range tree.Pipelines() {
		for _, stage := range p.Stages {
			if stage.Pool == pool {
				add(requiredLoad{upstream.OrderLoadModel, stage.Model})
				add(requiredLoad{upstream.OrderLoadAdapter, stage.Adapter})
			}
		}
	}
	return loads
}

// firstMissing returns the first required load that an engine neither has nor
// is loading.
func firstMissing(state *upstream.EngineState, required []requiredLoad) (requiredLoad, bool) {
	for _, load := range required {
		loaded := state.Models
		if load.kind == upstream.OrderLoadAdapter {
			loaded = state.Adapters
		}
		if !slices.Contains(loaded, load.name) && !slices.Contains(state.Loading, load.name) {
			return load, true
		}
	}
	return requiredLoad{}, false
}

// loadInto orders an engine to load the first required model or adapter that it
// lacks. It does nothing if another VM holds the engine's order lease.
func (l *modelLoader) loadInto(ctx context.Context, snap *snapshot, pool *settings.Pool, addr string, required []requiredLoad) error {
	state, err := l.s.client.State(ctx, addr)
	if err != nil {
		return fmt.Errorf("read state: %w", err)
	}
	if len(state.Models) == 0 {
		// An engine that lists no models serves all models.
		return nil
	}
	if _, found := firstMissing(&state, required); !found {
		return nil
	}
	lease, err := l.acquireLease(ctx, snap.session, addr)
	if err != nil || lease == nil {
		return err
	}
	defer lease.release(ctx)
	if err := lease.waitForPreviousHolder(ctx, pool.ChecksFencing); err != nil {
		return err
	}
	if state, err = l.s.client.State(ctx, addr); err != nil {
		return fmt.Errorf("reread state: %w", err)
	}
	load, found := firstMissing(&state, required)
	if !found {
		return nil
	}
	if load.kind == upstream.OrderLoadModel {
		if err := l.reserveWeightBudget(ctx, snap); err != nil {
			return err
		}
	}
	return lease.send(ctx, load)
}

// orderLease is the exclusive lease for sending orders to one engine.
type orderLease struct {
	loader       *modelLoader
	session      ids.SessionID
	addr         string
	fencingToken uint64
	// wait is how long an order of an earlier holder may still arrive.
	wait  time.Duration
	until time.Time
}

// acquireLease acquires the order lease of an engine. It returns nil without an
// error if the control VMs refuse it, as when another VM holds the lease. The
// term counts from before the proposal.
func (l *modelLoader) acquireLease(ctx context.Context, session ids.SessionID, addr string) (*orderLease, error) {
	sent := time.Now()
	cmd := command.Command{AcquireLease: &command.AcquireLease{
		Upstream: addr, Session: session, TermMS: uint32(orderLeaseTerm.Milliseconds()), Nonce: rand.Uint64(),
	}}
	res, err := l.s.opts.Control.Propose(ctx, ids.SettingsGroup, cmd)
	if err != nil {
		return nil, fmt.Errorf("acquire order lease: %w", err)
	}
	if res.Code != command.OK {
		return nil, nil
	}
	wait := time.Duration(res.WaitMS) * time.Millisecond
	return &orderLease{loader: l, session: session, addr: addr, fencingToken: res.FencingToken, wait: wait, until: sent.Add(orderLeaseTerm)}, nil
}

// waitForPreviousHolder waits until orders of earlier holders can no longer
// arrive. Engines that check fencing tokens reject such orders and need no wait.
func (l *orderLease) waitForPreviousHolder(ctx context.Context, checksFencing bool) error {
	if checksFencing || l.wait == 0 {
		return nil
	}
	select {
	case <-time.After(l.wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// guard returns an error if the lease may have passed to another VM. It is
// called directly before the first byte of an order is written.
func (l *orderLease) guard() error {
	now := time.Now()
	if now.After(l.until) || !l.loader.s.subscriber.snapshot().owns(l.session, now) {
		return errOrderLeaseLost
	}
	return nil
}

// send orders the engine to load a model or adapter.
func (l *orderLease) send(ctx context.Context, load requiredLoad) error {
	order := upstream.Order{Kind: load.kind, FencingToken: l.fencingToken, ExpiresUnixMS: time.Now().Add(fence.OrderExpiry).UnixMilli()}
	if load.kind == upstream.OrderLoadModel {
		order.Model = load.name
	} else {
		order.Adapter = load.name
	}
	if err := l.loader.s.client.Order(ctx, l.addr, order, l.guard); err != nil {
		return fmt.Errorf("%s %s: %w", load.kind, load.name, err)
	}
	l.loader.s.log.Info().Str("upstream", l.addr).Str("order", load.kind).Str("name", load.name).Msg("entry: load order sent")
	return nil
}

// release returns the lease, so that another VM need not wait for its term.
func (l *orderLease) release(ctx context.Context) {
	cmd := command.Command{ReleaseLease: &command.ReleaseLease{Upstream: l.addr, Token: l.fencingToken}}
	if _, err := l.loader.s.opts.Control.Propose(ctx, ids.SettingsGroup, cmd); err != nil && ctx.Err() == nil {
		l.loader.s.log.Warn().Err(err).Msg("entry: the order lease could not be released and will expire")
	}
}

// reserveWeightBudget reserves one second of the weight store's byte rate, so
// that all VMs together start loads no faster than the store can serve them.
func (l *modelLoader) reserveWeightBudget(ctx context.Context, snap *snapshot) error {
	cmd := command.Command{DrawWeights: &command.DrawWeights{
		Session: snap.session, Bytes: uint64(snap.tree.Int("", settings.WeightStoreRate)), Nonce: rand.Uint64(),
	}}
	for range maxBudgetTries {
		res, err := l.s.opts.Control.Propose(ctx, ids.SettingsGroup, cmd)
		if err != nil {
			return fmt.Errorf("weight store budget: %w", err)
		}
		if res.Code != command.RateExhausted {
			return budgetError(&res)
		}
		select {
		case <-time.After(time.Duration(res.WaitMS) * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.New("weight store budget: exhausted; the next check tries again")
}

func budgetError(res *command.Result) error {
	if res.Code == command.OK {
		return nil
	}
	return fmt.Errorf("weight store budget: code %d: %s", res.Code, res.Detail)
}
