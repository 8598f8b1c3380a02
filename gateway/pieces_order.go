package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// order has the pieces made by the VM that assembles for the service's zone.
// If it does not answer, another one or this VM does it.
func (p *pieceServer) order(ctx context.Context, c *piecesCall) ([]batch.Result, error) {
	at := p.assemblerVM(c.Service)
	if at == p.g.opts.Self {
		results, err := p.assemble(ctx, c)
		p.noteDelay(peerKey{c.Service, at}, p.ownDelay(ctx, c.Service))
		return results, err
	}
	results, err := p.orderAt(ctx, at, c)
	var remote *transport.RemoteError
	if err == nil || ctx.Err() != nil || errors.As(err, &remote) {
		return results, err
	}
	p.g.log.Warn().Err(err).Str("id", c.Request).Str("vm", at).Str("service", c.Service).Msg("gateway: the assembling VM did not answer")
	p.avoid(at)
	return p.assemble(ctx, c)
}

func (p *pieceServer) orderAt(ctx context.Context, at string, c *piecesCall) ([]batch.Result, error) {
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
	told := time.Duration(reply.DelayMS) * time.Millisecond
	p.noteDelay(peerKey{c.Service, at}, told)
	results := make([]batch.Result, 0, len(reply.Results))
	for _, r := range reply.Results {
		result := batch.Result{Handle: r.Handle, Runner: r.Runner, Reason: r.Reason, Assembler: r.Assembler}
		if result.Assembler == "" {
			result.Assembler = at
		}
		results = append(results, result)
	}
	if slices.ContainsFunc(results, func(r batch.Result) bool { return r.Reason == batch.NoRunner }) {
		return nil, errNoAssembler
	}
	if len(results) != len(c.Items) {
		return nil, errors.New("gateway: the assembling VM gave another number of results; check that all entry VMs run the same release")
	}
	return results, nil
}

// errNoAssembler says that a VM does not know the service, as when it has just
// started.
var errNoAssembler = errors.New("gateway: the assembling VM does not know the service yet; another one is asked")

// assemblerVM gives the VM that assembles for a service, the same at all VMs
// that use the same zone's runners.
func (p *pieceServer) assemblerVM(service string) string {
	zone := p.g.runners.homeZone(service)
	now := time.Now()
	var names []string
	p.mu.Lock()
	for _, e := range p.g.state.Load().Entries {
		if e.Zone == zone && !e.Draining && now.After(p.avoided[e.Addr]) {
			names = append(names, e.Addr)
		}
	}
	p.mu.Unlock()
	if len(names) == 0 {
		return p.g.opts.Self
	}
	return placement.Highest(service, names)
}

func (p *pieceServer) avoid(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoided[vm] = time.Now().Add(assemblerAvoid)
}

// serve answers the calls of other entry VMs.
func (p *pieceServer) serve(ctx context.Context, m transport.Method, body []byte) ([]byte, error) {
	if m == transport.MethodFreePieces {
		var c freeCall
		if err := wire.Decode(body, &c); err != nil {
			return nil, err
		}
		p.freeHere(&c)
		return nil, nil
	}
	var c piecesCall
	if err := wire.Decode(body, &c); err != nil {
		return nil, err
	}
	var results []batch.Result
	if len(c.Items) > 0 {
		var err error
		if results, err = p.assemble(ctx, &c); err != nil {
			return nil, err
		}
	}
	reply := &piecesReply{DelayMS: p.ownDelay(ctx, c.Service).Milliseconds()}
	for _, r := range results {
		reply.Results = append(reply.Results, pieceResult{Handle: r.Handle, Runner: r.Runner, Reason: r.Reason, Assembler: r.Assembler})
	}
	return wire.Encode(reply)
}
