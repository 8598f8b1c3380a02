package gateway

import (
	"context"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// free releases results that are no longer needed. It notifies the VMs that
// account the memory of the runners that hold them, and these VMs notify the
// runners.
func (p *pieceScheduler) free(service string, results []batch.Result) {
	for _, c := range freeCalls(service, results) {
		if p.g.accounts(c) {
			p.freeLocal(c)
		} else {
			go p.g.forwardFree(c)
		}
	}
}

// freeLocal frees results of runners whose memory this VM accounts.
func (p *pieceScheduler) freeLocal(c *freeCall) {
	p.post(func(o *pieceOwner, _ time.Time) { o.freeLocal(c) })
}

// accounts reports whether this VM accounts the memory of the call's runner.
func (g *Gateway) accounts(c *freeCall) bool {
	return c.assembler == "" || c.assembler == g.opts.Self
}

// forwardFree asks the VM that accounts the runner's memory to free the results.
// If that VM does not answer, this VM frees those that nobody needs anymore at
// the runner.
func (g *Gateway) forwardFree(c *freeCall) {
	body, err := wire.Encode(c)
	if err != nil {
		g.log.Error().Err(err).Str("service", c.Service).Msg("gateway: a call that frees results cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if _, err := g.opts.Caller.Call(ctx, c.assembler, transport.MethodFreePieces, body); err != nil && !c.Fetched {
		g.freeAtRunner(c.Runner, c.Handles)
	}
}

// freeCalls groups results by runner and accounting VM.
func freeCalls(service string, results []batch.Result) []*freeCall {
	var calls []*freeCall
	for _, r := range results {
		if r.Handle == "" {
			continue
		}
		i := slices.IndexFunc(calls, func(c *freeCall) bool { return c.Runner == r.Runner && c.assembler == r.Assembler })
		if i < 0 {
			i = len(calls)
			calls = append(calls, &freeCall{Service: service, Runner: r.Runner, assembler: r.Assembler})
		}
		calls[i].Handles = append(calls[i].Handles, r.Handle)
	}
	return calls
}

// freeAtRunner tells a runner to free results and waits for its answer. A runner
// that has asked for a pause is told after it, one in an evacuated data centre not at
// all.
func (g *Gateway) freeAtRunner(runner string, handles []string) {
	if g.runners.isEvacuatedAt(runner) || !g.awaitPauseEnd(runner) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	said, err := g.opts.Upstreams.FreePieces(ctx, runner, handles)
	g.recordAdviceAt(runner, "", said)
	if err != nil {
		g.log.Info().Err(err).Str("addr", runner).Int("results", len(handles)).Msg("gateway: freeing results failed; the runner drops them after their retention time")
	}
}

// free is pieceScheduler.free for the owner.
func (o *pieceOwner) free(service string, results []batch.Result) {
	for _, c := range freeCalls(service, results) {
		o.sendFree(c)
	}
}

func (o *pieceOwner) sendFree(c *freeCall) {
	if o.g.accounts(c) {
		o.freeLocal(c)
	} else {
		go o.g.forwardFree(c)
	}
}

// freeLocal frees results of runners whose memory this VM accounts.
func (o *pieceOwner) freeLocal(c *freeCall) {
	handles := c.Handles
	if a := o.assemblerOf(c.Service, c.Runner); a != nil {
		if c.Fetched && !a.IsLowOnMemory(c.Runner) {
			return
		}
		handles = a.WithoutFreed(c.Runner, handles)
	}
	o.later.spawn(func() ownerTask {
		if len(handles) > 0 {
			o.g.freeAtRunner(c.Runner, handles)
		}
		// The runner's memory is free only once the runner has been told.
		return func(o *pieceOwner, _ time.Time) { o.recordFreed(c) }
	})
}

func (o *pieceOwner) recordFreed(c *freeCall) {
	a := o.assemblerOf(c.Service, c.Runner)
	switch {
	case a == nil:
	case c.Fetched:
		a.MarkFreed(c.Runner, c.Handles)
	default:
		a.Release(c.Runner, c.Handles)
	}
}
