package gateway

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/residency"
)

// ownerTask runs on the goroutine of a pieceOwner.
type ownerTask func(o *pieceOwner, now time.Time)

// taskScheduler lets an owner continue later without waiting.
type taskScheduler interface {
	// spawn runs work on a goroutine of its own and then the task that it returns,
	// if not nil, on the owner's.
	spawn(work func() ownerTask)
	// after runs a task on the owner's goroutine when d has passed.
	after(d time.Duration, task ownerTask)
}

// pieceOwner holds the assemblers of a pieceScheduler. Only the scheduler's
// goroutine uses it. Its methods call each other and never post a task: with a
// full queue the goroutine would wait for itself.
type pieceOwner struct {
	g *Gateway
	// ctx ends when the scheduler stops.
	ctx   context.Context
	later taskScheduler
	peers *peerDelays

	assemblers map[poolKey]*batch.Assembler
	waiters    map[uint64]*pieceWaiter
	nextRef    uint64
}

func newPieceOwner(ctx context.Context, p *pieceScheduler) *pieceOwner {
	return &pieceOwner{
		g: p.g, ctx: ctx, later: p, peers: p.peers,
		assemblers: map[poolKey]*batch.Assembler{}, waiters: map[uint64]*pieceWaiter{},
	}
}

// dispatchDue starts the calls that are due and returns the time until the next
// run.
func (o *pieceOwner) dispatchDue(now time.Time) time.Duration {
	wake := time.Hour
	for pool, a := range o.assemblers {
		calls, ended := a.Next(now)
		o.deliver(pool.service, ended)
		for _, call := range calls {
			o.startCall(pool, call)
		}
		if at := a.NextWake(now); !at.IsZero() {
			wake = min(wake, at.Sub(now))
		}
	}
	return max(wake, time.Millisecond)
}

func (o *pieceOwner) startCall(pool poolKey, call batch.Call) {
	o.g.metrics.callPieces.Update(float64(len(call.Items)))
	o.scheduleInputRelease(pool, &call)
	o.later.spawn(func() ownerTask {
		began := time.Now()
		result := o.g.opts.Upstreams.RunPieces(o.ctx, &call)
		if result.Lost || result.Refused {
			o.g.log.Info().Str("service", pool.service).Str("zone", pool.zone).Str("runner", call.RunnerID).Str("addr", call.Runner).Int("pieces", len(call.Items)).
				Bool("lost", result.Lost).Bool("refused", result.Refused).Int64("ms", time.Since(began).Milliseconds()).Msg("gateway: stage call failed")
		}
		return func(o *pieceOwner, now time.Time) { o.endCall(now, pool, &call, &result) }
	})
}

func (o *pieceOwner) endCall(now time.Time, pool poolKey, call *batch.Call, result *batch.CallResult) {
	a := o.assemblers[pool]
	if a == nil {
		return
	}
	if o.g.recordAdviceAt(call.Runner, call.RunnerID, result.Advice) {
		o.updateAssembler(pool, a)
	}
	o.logOutOfMemory(pool.service, call, result, a.UsedBytes(call.Runner))
	ended, surplus := a.Done(now, *call, *result)
	o.free(pool.service, surplus)
	o.deliver(pool.service, ended)
	o.markUnfinished(call)
}

// logOutOfMemory logs that a runner had less free memory than was accounted for
// it.
func (o *pieceOwner) logOutOfMemory(service string, call *batch.Call, result *batch.CallResult, accounted int64) {
	refused := 0
	for _, r := range result.Results {
		if r.Reason == batch.OutOfMemory {
			refused++
		}
	}
	if refused > 0 {
		o.g.log.Info().Str("service", service).Str("runner", call.RunnerID).Int("pieces", len(call.Items)).Int("refused", refused).
			Int64("accounted_bytes", accounted).Int64("result_bytes", call.Items[0].ResultBytes).Msg("gateway: stage runner had no room")
	}
}

// deliver stores the results of ended items at their waiters. Those of requests
// that have ended are freed.
func (o *pieceOwner) deliver(service string, ended []batch.EndedItem) {
	var unneeded []batch.Result
	for _, e := range ended {
		w := o.waiters[e.Item.Ref]
		if w == nil {
			continue
		}
		delete(o.waiters, e.Item.Ref)
		w.results[e.Item.Ref-w.firstRef] = e.Result
		o.recordInputResult(service, w, e.Result)
		w.pending--
		if w.cancelled {
			unneeded = append(unneeded, e.Result)
		}
		if w.pending == 0 {
			close(w.done)
		}
	}
	o.free(service, unneeded)
}

func (o *pieceOwner) addPieces(now, began time.Time, c *piecesCall, w *pieceWaiter) {
	a := o.assembler(c.pool())
	if a == nil || a.IsAbandoned() || !o.g.runners.zoneEligible(c.Zone, residency.Of(c.AllowedRegions)) {
		w.endAll(batch.NoRunner)
		return
	}
	item := batch.Item{
		Request: c.Request, Stage: c.Stage, Key: c.Key, Inputs: c.Inputs, ResultBytes: c.ResultBytes, YieldTime: time.Duration(c.YieldMS) * time.Millisecond,
		Due:      began.Add(time.Duration(c.DueMS) * time.Millisecond),
		Deadline: began.Add(time.Duration(c.LeftMS) * time.Millisecond),
	}
	delay := a.Delay(now, &item, len(c.Items))
	if !c.Forwarded {
		if peer := o.fasterPeer(now, c, delay); peer != nil {
			w.forwardTo = peer
			close(w.done)
			return
		}
	}
	if now.Add(delay).After(item.Deadline) {
		// The pieces cannot finish in time, so they are refused immediately.
		w.endAll(batch.Late)
		return
	}
	w.firstRef = o.nextRef
	w.inputs = newInputUse(c)
	for _, piece := range c.Items {
		o.waiters[o.nextRef] = w
		item.Ref, item.Piece = o.nextRef, piece
		a.Add(now, item)
		o.nextRef++
	}
}

// cancel drops the waiting pieces of a request that has ended and frees its
// results. Results of calls in flight are freed when they arrive.
func (o *pieceOwner) cancel(pool poolKey, w *pieceWaiter) {
	w.cancelled = true
	refs := map[uint64]bool{}
	for i := range w.results {
		ref := w.firstRef + uint64(i)
		if o.waiters[ref] == w {
			refs[ref] = true
		}
	}
	if a := o.assemblers[pool]; a != nil {
		for _, ref := range a.Cancel(refs) {
			delete(o.waiters, ref)
		}
	}
	var done []batch.Result
	for _, r := range w.results {
		if r.Handle != "" {
			done = append(done, r)
		}
	}
	o.free(pool.service, done)
}
