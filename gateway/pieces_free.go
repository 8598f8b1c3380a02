package gateway

import (
	"context"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// free says that results are of no more use, to the VMs that account their
// makers' memory and by them to the makers.
func (p *pieceServer) free(service string, results []batch.Result) {
	for _, c := range freeCalls(service, results) {
		p.sendFree(c)
	}
}

// sendFree has the VM that accounts the maker's memory free the results. If it
// does not answer, this VM frees those of no more use.
func (p *pieceServer) sendFree(c *freeCall) {
	if c.assembler == "" || c.assembler == p.g.opts.Self {
		p.freeHere(c)
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
			p.freeAt(c.Runner, c.Handles)
		}
	}()
}

// freeCalls groups results by their makers.
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

// freeHere frees results whose maker's memory is accounted here.
func (p *pieceServer) freeHere(c *freeCall) {
	p.post(func(time.Time) {
		handles := c.Handles
		a := p.assemblers[c.Service]
		if a != nil {
			if c.Fetched && !a.IsShort(c.Runner) {
				return
			}
			handles = a.Kept(c.Runner, handles)
		}
		go func() {
			if len(handles) > 0 {
				p.freeAt(c.Runner, handles)
			}
			// The memory is free only once the maker knows.
			p.post(func(time.Time) { p.noteFreed(c) })
		}()
	})
}

func (p *pieceServer) noteFreed(c *freeCall) {
	a := p.assemblers[c.Service]
	switch {
	case a == nil:
	case c.Fetched:
		a.Freed(c.Runner, c.Handles)
	default:
		a.Free(c.Runner, c.Handles)
	}
}

// freeAt tells the maker of results and waits for its answer.
func (p *pieceServer) freeAt(runner string, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := p.g.opts.Upstreams.FreePieces(ctx, runner, handles); err != nil {
		p.g.log.Info().Err(err).Str("addr", runner).Int("results", len(handles)).Msg("gateway: results not freed; the runner drops them by itself")
	}
}
