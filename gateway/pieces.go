package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/batch"
)

const (
	// assemblerAvoid is how long a VM that failed to answer assembles nothing
	// for this one.
	assemblerAvoid = 2 * time.Second
	// freeTimeout bounds the freeing of results; a runner drops them by itself
	// later.
	freeTimeout = time.Second
)

// pieceServer assembles stage calls of this VM and of others in its zone.
type pieceServer struct {
	g *Gateway
	// tasks run on the goroutine that owns the assemblers.
	tasks chan func(now time.Time)
	ended chan struct{}

	// The owner's state.
	assemblers map[string]*batch.Assembler
	zones      map[string]string
	waiters    map[uint64]*pieceWaiter
	nextRef    uint64

	mu      sync.Mutex
	avoided map[string]time.Time
	// peers are the assemblers of other zones, by service and address.
	peers map[peerKey]*peerDelay
}

// pieceWaiter waits for the results of one piecesCall.
type pieceWaiter struct {
	results []batch.Result
	first   uint64
	left    int
	// cancelled waiters have their results freed.
	cancelled bool
	// forwardTo is the assembler to ask instead, empty for this one.
	forwardTo string
	done      chan struct{}
	inputs    inputUse
}

func newPieceServer(g *Gateway) *pieceServer {
	return &pieceServer{
		g: g, tasks: make(chan func(time.Time), 64), ended: make(chan struct{}),
		assemblers: map[string]*batch.Assembler{}, zones: map[string]string{},
		waiters: map[uint64]*pieceWaiter{}, avoided: map[string]time.Time{}, peers: map[peerKey]*peerDelay{},
	}
}

// run owns the assemblers until ctx ends.
func (p *pieceServer) run(ctx context.Context) {
	defer close(p.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-p.tasks:
			task(time.Now())
		case <-timer.C:
		}
		timer.Reset(p.pump(ctx, time.Now()))
	}
}

func (p *pieceServer) post(task func(now time.Time)) bool {
	select {
	case p.tasks <- task:
		return true
	case <-p.ended:
		return false
	}
}

// pump sends the calls that are due and gives the time until it should run
// again.
func (p *pieceServer) pump(ctx context.Context, now time.Time) time.Duration {
	wake := time.Hour
	for service, a := range p.assemblers {
		calls, ended := a.Next(now)
		p.deliver(service, ended)
		for _, call := range calls {
			p.start(ctx, service, call)
		}
		if at := a.Wake(now); !at.IsZero() {
			wake = min(wake, at.Sub(now))
		}
	}
	return max(wake, time.Millisecond)
}

func (p *pieceServer) start(ctx context.Context, service string, call batch.Call) {
	p.g.count.callFill.Update(float64(len(call.Items)))
	p.noteSent(service, &call)
	go func() {
		began := time.Now()
		result := p.g.opts.Upstreams.RunPieces(ctx, &call)
		if result.Lost || result.Refused {
			p.g.log.Info().Str("service", service).Str("runner", call.RunnerID).Str("addr", call.Runner).Int("pieces", len(call.Items)).
				Bool("lost", result.Lost).Bool("refused", result.Refused).Int64("ms", time.Since(began).Milliseconds()).Msg("gateway: stage call failed")
		}
		p.post(func(now time.Time) {
			a := p.assemblers[service]
			if a == nil {
				return
			}
			p.logNoRoom(service, &call, &result, a.Room(call.Runner))
			ended, surplus := a.Done(now, call, result)
			p.free(service, surplus)
			p.deliver(service, ended)
			p.noteBack(&call)
		})
	}()
}

// logNoRoom says that a runner had less memory than was accounted.
func (p *pieceServer) logNoRoom(service string, call *batch.Call, result *batch.CallResult, accounted int64) {
	refused := 0
	for _, r := range result.Results {
		if r.Reason == batch.NoRoom {
			refused++
		}
	}
	if refused > 0 {
		p.g.log.Info().Str("service", service).Str("runner", call.RunnerID).Int("pieces", len(call.Items)).Int("refused", refused).
			Int64("accounted_bytes", accounted).Int64("result_bytes", call.Items[0].ResultBytes).Msg("gateway: stage runner had no room")
	}
}

// deliver gives ended items to their waiters.
func (p *pieceServer) deliver(service string, ended []batch.End) {
	for _, e := range ended {
		w := p.waiters[e.Item.Ref]
		if w == nil {
			continue
		}
		delete(p.waiters, e.Item.Ref)
		w.results[e.Item.Ref-w.first] = e.Result
		p.noteInputs(service, w, e.Result)
		w.left--
		if w.cancelled && e.Result.Handle != "" {
			p.freeHere(&freeCall{Service: service, Runner: e.Result.Runner, Handles: []string{e.Result.Handle}})
		}
		if w.left == 0 {
			close(w.done)
		}
	}
}

// refresh takes changed runners and services.
func (p *pieceServer) refresh() { p.post(p.refreshOwned) }

func (p *pieceServer) refreshOwned(time.Time) {
	for service, a := range p.assemblers {
		p.describe(service, a)
	}
}

func (p *pieceServer) describe(service string, a *batch.Assembler) {
	if t := p.g.Table(); t != nil {
		if s := t.Service(service); s != nil && s.Pieces != nil {
			a.SetSpec(*s.Pieces)
		}
	}
	zone := p.g.runners.homeZone(service)
	if zone == "" {
		zone = p.zones[service]
	}
	p.zones[service] = zone
	var workers []batch.Worker
	for _, r := range p.g.runners.stageRunners(service, zone) {
		workers = append(workers, batch.Worker{ID: r.ID, Addr: r.Addr, Draining: r.Draining})
	}
	a.SetWorkers(workers)
}

// assembler gives the assembler of a service, nil if the catalog has none.
func (p *pieceServer) assembler(service string) *batch.Assembler {
	if a := p.assemblers[service]; a != nil {
		return a
	}
	t := p.g.Table()
	if t == nil {
		return nil
	}
	s := t.Service(service)
	if s == nil || s.Pieces == nil {
		return nil
	}
	a := batch.NewAssembler(*s.Pieces)
	p.assemblers[service] = a
	p.describe(service, a)
	return a
}

// assemble has the pieces made here and waits for them.
func (p *pieceServer) assemble(ctx context.Context, c *piecesCall) ([]batch.Result, error) {
	w := &pieceWaiter{results: make([]batch.Result, len(c.Items)), left: len(c.Items), done: make(chan struct{})}
	began := time.Now()
	ok := p.post(func(now time.Time) { p.add(now, began, c, w) })
	if !ok {
		return nil, errors.New("gateway: this VM is stopping; ask another one")
	}
	select {
	case <-w.done:
		if w.forwardTo != "" {
			return p.forward(ctx, w.forwardTo, c)
		}
		return w.results, nil
	case <-ctx.Done():
		p.post(func(now time.Time) { p.cancel(c.Service, w) })
		return nil, ctx.Err()
	case <-p.ended:
		return nil, errors.New("gateway: this VM is stopping; ask another one")
	}
}

func (p *pieceServer) add(now, began time.Time, c *piecesCall, w *pieceWaiter) {
	a := p.assembler(c.Service)
	if a == nil {
		for i := range w.results {
			w.results[i] = batch.Result{Reason: batch.NoRunner}
		}
		close(w.done)
		return
	}
	item := batch.Item{
		Request: c.Request, Stage: c.Stage, Key: c.Key, Inputs: c.Inputs, ResultBytes: c.ResultBytes, Yield: time.Duration(c.YieldMS) * time.Millisecond,
		Due:      began.Add(time.Duration(c.DueMS) * time.Millisecond),
		Deadline: began.Add(time.Duration(c.LeftMS) * time.Millisecond),
	}
	delay := a.Delay(now, &item, len(c.Items))
	if !c.Forwarded {
		if peer := p.quicker(now, c, delay); peer != "" {
			w.forwardTo = peer
			close(w.done)
			return
		}
	}
	if now.Add(delay).After(item.Deadline) {
		// No use to anyone, so it is said at once.
		for i := range w.results {
			w.results[i] = batch.Result{Reason: batch.Late}
		}
		close(w.done)
		return
	}
	w.first = p.nextRef
	w.inputs = newInputUse(c)
	for _, piece := range c.Items {
		p.waiters[p.nextRef] = w
		item.Ref, item.Piece = p.nextRef, piece
		a.Add(now, item)
		p.nextRef++
	}
}

// cancel drops what waits for a request that has ended; results under way are
// freed when they come.
func (p *pieceServer) cancel(service string, w *pieceWaiter) {
	w.cancelled = true
	refs := map[uint64]bool{}
	for i := range w.results {
		ref := w.first + uint64(i)
		if p.waiters[ref] == w {
			refs[ref] = true
		}
	}
	if a := p.assemblers[service]; a != nil {
		for _, ref := range a.Cancel(refs) {
			delete(p.waiters, ref)
		}
	}
	var done []batch.Result
	for _, r := range w.results {
		if r.Handle != "" {
			done = append(done, r)
		}
	}
	for _, c := range freeCalls(service, done) {
		p.freeHere(c)
	}
}
