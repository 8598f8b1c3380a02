package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/batch"
)

const (
	// assemblerBackoff is how long a VM that did not answer is not used as an
	// assembler.
	assemblerBackoff = 2 * time.Second
	// freeTimeout limits a call that frees results. If it fails, the runner drops
	// the results later by itself.
	freeTimeout = time.Second
	// taskQueueLength is the number of tasks that may wait for the scheduler's
	// goroutine.
	taskQueueLength = 64
)

// pieceScheduler assembles stage calls for this VM and for the other VMs of its
// zone.
type pieceScheduler struct {
	g *Gateway
	// tasks run on the goroutine that owns the assemblers.
	tasks   chan func(now time.Time)
	stopped chan struct{}

	// The following fields are accessed only by that goroutine.
	assemblers map[string]*batch.Assembler
	zones      map[string]string
	waiters    map[uint64]*pieceWaiter
	nextRef    uint64

	mu           sync.Mutex
	backoffUntil map[string]time.Time
	// peers holds the delays of assemblers by service and address.
	peers map[peerKey]*peerDelay
}

// pieceWaiter collects the results of one piecesCall.
type pieceWaiter struct {
	results  []batch.Result
	firstRef uint64
	pending  int
	// cancelled is set when the request has ended, so that later results are
	// freed.
	cancelled bool
	// forwardTo is the VM to which the call is forwarded, or "" if it is served
	// here.
	forwardTo string
	done      chan struct{}
	inputs    inputUse
}

func newPieceScheduler(g *Gateway) *pieceScheduler {
	p := &pieceScheduler{
		g: g, tasks: make(chan func(time.Time), taskQueueLength), stopped: make(chan struct{}),
		assemblers: map[string]*batch.Assembler{}, zones: map[string]string{},
		waiters: map[uint64]*pieceWaiter{}, backoffUntil: map[string]time.Time{}, peers: map[peerKey]*peerDelay{},
	}
	g.metrics.set.NewGauge("damask_gateway_scheduler_waiting_tasks", func() float64 { return float64(len(p.tasks)) })
	return p
}

// run is the goroutine that owns the assemblers. It returns when ctx is done.
func (p *pieceScheduler) run(ctx context.Context) {
	defer close(p.stopped)
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
		timer.Reset(p.dispatchDue(ctx, time.Now()))
	}
}

func (p *pieceScheduler) post(task func(now time.Time)) bool {
	select {
	case p.tasks <- task:
		return true
	default:
		p.g.metrics.schedulerFull.Inc()
	}
	select {
	case p.tasks <- task:
		return true
	case <-p.stopped:
		return false
	}
}

// dispatchDue starts the calls that are due and returns the time until the next
// run.
func (p *pieceScheduler) dispatchDue(ctx context.Context, now time.Time) time.Duration {
	wake := time.Hour
	for service, a := range p.assemblers {
		calls, ended := a.Next(now)
		p.deliver(service, ended)
		for _, call := range calls {
			p.startCall(ctx, service, call)
		}
		if at := a.NextWake(now); !at.IsZero() {
			wake = min(wake, at.Sub(now))
		}
	}
	return max(wake, time.Millisecond)
}

func (p *pieceScheduler) startCall(ctx context.Context, service string, call batch.Call) {
	p.g.metrics.callPieces.Update(float64(len(call.Items)))
	p.scheduleInputRelease(service, &call)
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
			p.logOutOfMemory(service, &call, &result, a.UsedBytes(call.Runner))
			ended, surplus := a.Done(now, call, result)
			p.free(service, surplus)
			p.deliver(service, ended)
			p.markUnfinished(&call)
		})
	}()
}

// logOutOfMemory logs that a runner had less free memory than was accounted for
// it.
func (p *pieceScheduler) logOutOfMemory(service string, call *batch.Call, result *batch.CallResult, accounted int64) {
	refused := 0
	for _, r := range result.Results {
		if r.Reason == batch.OutOfMemory {
			refused++
		}
	}
	if refused > 0 {
		p.g.log.Info().Str("service", service).Str("runner", call.RunnerID).Int("pieces", len(call.Items)).Int("refused", refused).
			Int64("accounted_bytes", accounted).Int64("result_bytes", call.Items[0].ResultBytes).Msg("gateway: stage runner had no room")
	}
}

// deliver stores the results of ended items at their waiters.
func (p *pieceScheduler) deliver(service string, ended []batch.EndedItem) {
	for _, e := range ended {
		w := p.waiters[e.Item.Ref]
		if w == nil {
			continue
		}
		delete(p.waiters, e.Item.Ref)
		w.results[e.Item.Ref-w.firstRef] = e.Result
		p.recordInputResult(service, w, e.Result)
		w.pending--
		if w.cancelled && e.Result.Handle != "" {
			p.freeLocal(&freeCall{Service: service, Runner: e.Result.Runner, Handles: []string{e.Result.Handle}})
		}
		if w.pending == 0 {
			close(w.done)
		}
	}
}

// refresh applies changes of the runners and services to the assemblers.
func (p *pieceScheduler) refresh() { p.post(p.refreshAssemblers) }

func (p *pieceScheduler) refreshAssemblers(time.Time) {
	for service, a := range p.assemblers {
		p.updateAssembler(service, a)
	}
}

func (p *pieceScheduler) updateAssembler(service string, a *batch.Assembler) {
	if t := p.g.Table(); t != nil {
		if s := t.Service(service); s != nil && s.StageRunner != nil {
			a.SetSpec(*s.StageRunner)
		}
	}
	zone := p.g.runners.preferredZone(service)
	if zone == "" {
		zone = p.zones[service]
	}
	p.zones[service] = zone
	var runners []batch.Runner
	for _, r := range p.g.runners.runnersInZone(service, zone) {
		runners = append(runners, batch.Runner{ID: r.ID, Addr: r.Addr, Draining: r.Draining})
	}
	a.SetRunners(runners)
}

// assembler returns the assembler of a service, or nil if the catalog has no
// such service.
func (p *pieceScheduler) assembler(service string) *batch.Assembler {
	if a := p.assemblers[service]; a != nil {
		return a
	}
	t := p.g.Table()
	if t == nil {
		return nil
	}
	s := t.Service(service)
	if s == nil || s.StageRunner == nil {
		return nil
	}
	a := batch.NewAssembler(*s.StageRunner)
	p.assemblers[service] = a
	p.updateAssembler(service, a)
	return a
}

// assemble schedules the pieces at this VM, or forwards them to a faster zone,
// and waits for the results.
func (p *pieceScheduler) assemble(ctx context.Context, c *piecesCall) ([]batch.Result, error) {
	w := &pieceWaiter{results: make([]batch.Result, len(c.Items)), pending: len(c.Items), done: make(chan struct{})}
	began := time.Now()
	ok := p.post(func(now time.Time) { p.addPieces(now, began, c, w) })
	if !ok {
		return nil, errors.New("gateway: this VM is stopping; use another VM")
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
	case <-p.stopped:
		return nil, errors.New("gateway: this VM is stopping; use another VM")
	}
}

func (p *pieceScheduler) addPieces(now, began time.Time, c *piecesCall, w *pieceWaiter) {
	a := p.assembler(c.Service)
	if a == nil {
		for i := range w.results {
			w.results[i] = batch.Result{Reason: batch.NoRunner}
		}
		close(w.done)
		return
	}
	item := batch.Item{
		Request: c.Request, Stage: c.Stage, Key: c.Key, Inputs: c.Inputs, ResultBytes: c.ResultBytes, YieldTime: time.Duration(c.YieldMS) * time.Millisecond,
		Due:      began.Add(time.Duration(c.DueMS) * time.Millisecond),
		Deadline: began.Add(time.Duration(c.LeftMS) * time.Millisecond),
	}
	delay := a.Delay(now, &item, len(c.Items))
	if !c.Forwarded {
		if peer := p.fasterPeer(now, c, delay); peer != "" {
			w.forwardTo = peer
			close(w.done)
			return
		}
	}
	if now.Add(delay).After(item.Deadline) {
		// The pieces cannot finish in time, so they are refused immediately.
		for i := range w.results {
			w.results[i] = batch.Result{Reason: batch.Late}
		}
		close(w.done)
		return
	}
	w.firstRef = p.nextRef
	w.inputs = newInputUse(c)
	for _, piece := range c.Items {
		p.waiters[p.nextRef] = w
		item.Ref, item.Piece = p.nextRef, piece
		a.Add(now, item)
		p.nextRef++
	}
}

// cancel drops the waiting pieces of a request that has ended and frees its
// results. Results of calls in flight are freed when they arrive.
func (p *pieceScheduler) cancel(service string, w *pieceWaiter) {
	w.cancelled = true
	refs := map[uint64]bool{}
	for i := range w.results {
		ref := w.firstRef + uint64(i)
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
		p.freeLocal(c)
	}
}
