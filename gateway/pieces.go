package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// piecesCall asks the VM that assembles the calls of a service for the pieces
// of one stage of one request.
type piecesCall struct {
	Service string   `cbor:"1,keyasint"`
	Request string   `cbor:"2,keyasint"`
	Stage   int      `cbor:"3,keyasint"`
	Key     string   `cbor:"4,keyasint,omitempty"`
	Inputs  []string `cbor:"5,keyasint,omitempty"`
	// Items are the numbers of the pieces.
	Items       []int `cbor:"6,keyasint"`
	ResultBytes int64 `cbor:"7,keyasint"`
	// DueMS and LeftMS are the times until the results are wanted and until
	// they are of no use, in ms.
	DueMS  int64 `cbor:"8,keyasint"`
	LeftMS int64 `cbor:"9,keyasint"`
	// YieldMS is how long the pieces give way to others that are due, in ms.
	YieldMS int64 `cbor:"10,keyasint,omitempty"`
	// Forwarded says that another zone's assembler has passed the call on.
	Forwarded bool `cbor:"11,keyasint,omitempty"`
}

// piecesReply has the results in the order of the items.
type piecesReply struct {
	Results []pieceResult `cbor:"1,keyasint"`
	// DelayMS is the time that pieces take at this VM now, in ms.
	DelayMS int64 `cbor:"2,keyasint"`
}

type pieceResult struct {
	Handle string       `cbor:"1,keyasint,omitempty"`
	Runner string       `cbor:"2,keyasint,omitempty"`
	Reason batch.Reason `cbor:"3,keyasint,omitempty"`
	// Assembler is set if another VM than the answering one had it made.
	Assembler string `cbor:"4,keyasint,omitempty"`
}

// freeCall says that results are of no more use.
type freeCall struct {
	Service string   `cbor:"1,keyasint"`
	Runner  string   `cbor:"2,keyasint"`
	Handles []string `cbor:"3,keyasint"`

	assembler string
}

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

// free says that results are of no more use, to the VMs that account their
// makers' memory and by them to the makers.
func (p *pieceServer) free(service string, results []batch.Result) {
	for _, c := range freeCalls(service, results) {
		if c.assembler == "" || c.assembler == p.g.opts.Self {
			p.freeHere(c)
			continue
		}
		body, err := wire.Encode(c)
		if err != nil {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
			defer cancel()
			if _, err := p.g.opts.Caller.Call(ctx, c.assembler, transport.MethodFreePieces, body); err != nil {
				p.freeAt(c.Runner, c.Handles)
			}
		}()
	}
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
	go func() {
		p.freeAt(c.Runner, c.Handles)
		// The memory is free only once the maker knows.
		p.post(func(time.Time) {
			if a := p.assemblers[c.Service]; a != nil {
				a.Free(c.Runner, c.Handles)
			}
		})
	}()
}

// freeAt tells the maker of results and waits for its answer.
func (p *pieceServer) freeAt(runner string, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := p.g.opts.Upstreams.FreePieces(ctx, runner, handles); err != nil {
		p.g.log.Info().Err(err).Str("addr", runner).Int("results", len(handles)).Msg("gateway: results not freed; the runner drops them by itself")
	}
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
