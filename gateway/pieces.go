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

// errStopping reports that the scheduler has stopped.
var errStopping = errors.New("gateway: this VM is stopping; use another VM")

// pieceScheduler assembles stage calls for this VM and for the other VMs of its
// zone. Its methods are called by the goroutines of requests and peers; the
// assemblers belong to a pieceOwner.
type pieceScheduler struct {
	g *Gateway
	// tasks run on the owner's goroutine, which must never wait for room here.
	tasks chan ownerTask
	// changed holds one signal while the owner must apply a new catalog or list of
	// runners.
	changed chan struct{}
	stopped chan struct{}
	peers   *peerDelays

	mu           sync.Mutex
	backoffUntil map[string]time.Time
}

func newPieceScheduler(g *Gateway) *pieceScheduler {
	p := &pieceScheduler{
		g: g, tasks: make(chan ownerTask, taskQueueLength), changed: make(chan struct{}, 1), stopped: make(chan struct{}),
		backoffUntil: map[string]time.Time{},
	}
	p.peers = newPeerDelays(p.queryDelay)
	g.metrics.set.NewGauge("damask_gateway_scheduler_waiting_tasks", func() float64 { return float64(len(p.tasks)) })
	return p
}

// run is the goroutine that owns the assemblers. It returns when ctx is done.
func (p *pieceScheduler) run(ctx context.Context) {
	defer close(p.stopped)
	owner := newPieceOwner(ctx, p)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-p.tasks:
			p.applyChange(owner)
			task(owner, time.Now())
		case <-p.changed:
			owner.updateAssemblers()
		case <-timer.C:
		}
		timer.Reset(owner.dispatchDue(time.Now()))
	}
}

// applyChange applies a pending change before a task that may depend on it.
func (p *pieceScheduler) applyChange(owner *pieceOwner) {
	select {
	case <-p.changed:
		owner.updateAssemblers()
	default:
	}
}

// post queues a task for the owner's goroutine and waits for room. It returns
// false once the scheduler has stopped. The owner itself must not call it.
func (p *pieceScheduler) post(task ownerTask) bool {
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

// spawn runs work on a goroutine of its own and then posts the task that it
// returns.
func (p *pieceScheduler) spawn(work func() ownerTask) {
	go func() {
		if task := work(); task != nil {
			p.post(task)
		}
	}()
}

// after posts a task when d has passed.
func (p *pieceScheduler) after(d time.Duration, task ownerTask) {
	time.AfterFunc(d, func() { p.post(task) })
}

// refresh makes the owner apply the current catalog and list of runners. It
// never waits: a confirmed change must not depend on the data path.
func (p *pieceScheduler) refresh() {
	select {
	case p.changed <- struct{}{}:
	default:
		// The pending signal covers this change too.
	}
}

// assemble schedules the pieces at this VM, or forwards them to a faster zone,
// and waits for the results.
func (p *pieceScheduler) assemble(ctx context.Context, c *piecesCall) ([]batch.Result, error) {
	w := &pieceWaiter{results: make([]batch.Result, len(c.Items)), pending: len(c.Items), done: make(chan struct{})}
	began := time.Now()
	ok := p.post(func(o *pieceOwner, now time.Time) { o.addPieces(now, began, c, w) })
	if !ok {
		return nil, errStopping
	}
	select {
	case <-w.done:
		if w.forwardTo != nil {
			return p.forward(ctx, *w.forwardTo, c)
		}
		return w.results, nil
	case <-ctx.Done():
		p.post(func(o *pieceOwner, _ time.Time) { o.cancel(c.pool(), w) })
		return nil, ctx.Err()
	case <-p.stopped:
		return nil, errStopping
	}
}
