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
		p.sendFree(c)
	}
}

// sendFree asks the VM that accounts the runner's memory to free the results.
// If that VM does not answer, this VM frees those that nobody needs anymore at
// the runner.
func (p *pieceScheduler) sendFree(c *freeCall) {
	if c.assembler == "" || c.assembler == p.g.opts.Self {
		p.freeLocal(c)
		return
	}
	body, err := wire.Encode(c)
	if err != nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if _, err := p.g.opts.Caller.Call(ctx, c.assembler, transport.MethodFreePieces, body); err != nil && !c.Fetched {
			p.freeAtRunner(c.Runner, c.Handles)
		}
	}()
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

// freeLocal frees results of runners whose memory this VM accounts.
func (p *pieceScheduler) freeLocal(c *freeCall) {
	p.post(func(time.Time) {
		handles := c.Handles
		a := p.assemblers[c.Service]
		if a != nil {
			if c.Fetched && !a.IsLowOnMemory(c.Runner) {
				return
			}
			handles = a.WithoutFreed(c.Runner, handles)
		}
		go func() {
			if len(handles) > 0 {
				p.freeAtRunner(c.Runner, handles)
			}
			// The runner's memory is free only once the runner has been told.
			p.post(func(time.Time) { p.recordFreed(c) })
		}()
	})
}

func (p *pieceScheduler) recordFreed(c *freeCall) {
	a := p.assemblers[c.Service]
	switch {
	case a == nil:
	case c.Fetched:
		a.MarkFreed(c.Runner, c.Handles)
	default:
		a.Release(c.Runner, c.Handles)
	}
}

// freeAtRunner tells a runner to free results and waits for its answer.
func (p *pieceScheduler) freeAtRunner(runner string, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := p.g.opts.Upstreams.FreePieces(ctx, runner, handles); err != nil {
		p.g.log.Info().Err(err).Str("addr", runner).Int("results", len(handles)).Msg("gateway: freeing results failed; the runner drops them after their retention time")
	}
}
