package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/residency"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// maxPoolTries is how many pools are tried for pieces if a pool loses its runners
// while they wait.
const maxPoolTries = 3

// runPieces runs the pieces at the VM that assembles the calls of the preferred pool
// in the allowed regions. If that pool has no runner left when their turn comes, the
// pieces go to the pool that is preferred then.
func (p *pieceScheduler) runPieces(ctx context.Context, c *piecesCall) (results []batch.Result, err error) {
	allowed := residency.Of(c.AllowedRegions)
	for range maxPoolTries {
		c.Zone = p.g.runners.preferredZone(c.Service, allowed)
		results, err = p.runPiecesInPool(ctx, c)
		if err != nil || !lacksRunner(results) || !p.isPoolLeft(c) {
			break
		}
		p.free(c.Service, results)
	}
	return results, err
}

// isPoolLeft reports whether the pool of a call is no longer the preferred one.
func (p *pieceScheduler) isPoolLeft(c *piecesCall) bool {
	return p.g.runners.preferredZone(c.Service, residency.Of(c.AllowedRegions)) != c.Zone
}

// lacksRunner reports whether pieces have no result because no runner takes them.
func lacksRunner(results []batch.Result) bool {
	return slices.ContainsFunc(results, func(r batch.Result) bool { return r.Reason == batch.NoRunner })
}

// runPiecesInPool runs the pieces at the VM that assembles the calls of their pool.
// If that VM does not answer, this VM assembles them itself and does not use that VM
// for assemblerBackoff.
func (p *pieceScheduler) runPiecesInPool(ctx context.Context, c *piecesCall) ([]batch.Result, error) {
	pool := c.pool()
	at := p.assemblerVM(pool)
	if at == p.g.opts.Self {
		results, err := p.assemble(ctx, c)
		if delay, err := p.localDelay(ctx, pool); err == nil {
			p.peers.record(peerKey{pool, at}, delay)
		}
		return results, err
	}
	results, err := p.runPiecesAt(ctx, at, c)
	if !isAssemblerMissing(ctx, err) {
		return results, err
	}
	if errors.Is(err, errNoAssembler) && p.isPoolLeft(c) {
		return resultsWithout(c, batch.NoRunner), nil
	}
	p.g.log.Warn().Err(err).Str("id", c.Request).Str("vm", at).Str("service", c.Service).Msg("gateway: the assembling VM did not answer")
	p.markUnavailable(at)
	return p.assemble(ctx, c)
}

func (p *pieceScheduler) runPiecesAt(ctx context.Context, at string, c *piecesCall) ([]batch.Result, error) {
	body, err := wire.Encode(c)
	if err != nil {
		return nil, err
	}
	b, err := p.g.opts.Caller.Call(ctx, at, transport.MethodPieces, body)
	if err != nil {
		return nil, err
	}
	var reply piecesReply
	if err := wire.Decode(b, &reply); err != nil {
		return nil, err
	}
	delay := time.Duration(reply.DelayMS) * time.Millisecond
	p.peers.record(peerKey{c.pool(), at}, delay)
	results := make([]batch.Result, 0, len(reply.Results))
	for _, r := range reply.Results {
		result := batch.Result{Handle: r.Handle, Runner: r.Runner, Reason: r.Reason, Assembler: r.Assembler}
		if result.Assembler == "" {
			result.Assembler = at
		}
		results = append(results, result)
	}
	if lacksRunner(results) {
		return nil, errNoAssembler
	}
	if len(results) != len(c.Items) {
		return nil, errors.New("gateway: the assembling VM returned an unexpected number of results; check that all entry VMs run the same release")
	}
	return results, nil
}

// errNoAssembler reports that a VM does not know the service, for example
// because it has just started, or that it stops.
var errNoAssembler = errors.New("gateway: the assembling VM does not know the service yet, or stops; using another VM")

// assemblerVM returns the VM that assembles the calls of a pool. All VMs choose the
// same one.
func (p *pieceScheduler) assemblerVM(pool poolKey) string {
	now := time.Now()
	var names []string
	p.mu.Lock()
	for _, e := range p.g.state.Load().Entries {
		if e.Zone == pool.zone && !e.Draining && now.After(p.backoffUntil[e.Addr]) {
			names = append(names, e.Addr)
		}
	}
	p.mu.Unlock()
	if len(names) == 0 {
		return p.g.opts.Self
	}
	return placement.PickRendezvous(pool.service, names)
}

func (p *pieceScheduler) markUnavailable(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil[vm] = time.Now().Add(assemblerBackoff)
}

// serve handles calls from other entry VMs.
func (p *pieceScheduler) serve(ctx context.Context, m transport.Method, body []byte) ([]byte, error) {
	if m == transport.MethodFreePieces {
		var c freeCall
		if err := wire.Decode(body, &c); err != nil {
			return nil, err
		}
		p.freeLocal(&c)
		return nil, nil
	}
	var c piecesCall
	if err := wire.Decode(body, &c); err != nil {
		return nil, err
	}
	if c.Zone == "" {
		c.Zone = p.g.runners.preferredZone(c.Service, residency.Of(c.AllowedRegions))
	}
	var results []batch.Result
	if len(c.Items) > 0 {
		var err error
		if results, err = p.assembleForPeer(ctx, &c); err != nil {
			return nil, err
		}
	}
	delay, err := p.localDelay(ctx, c.pool())
	if err != nil {
		return nil, err
	}
	reply := &piecesReply{DelayMS: delay.Milliseconds()}
	for _, r := range results {
		reply.Results = append(reply.Results, pieceResult{Handle: r.Handle, Runner: r.Runner, Reason: r.Reason, Assembler: r.Assembler})
	}
	return wire.Encode(reply)
}
