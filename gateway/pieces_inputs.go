package gateway

import (
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/placement"
)

// inputUse tracks the use of the inputs of one piecesCall. They may be freed
// before its pieces are done: a runner fetches them when it starts a call, and
// otherwise they would occupy memory at their producers for the whole call.
type inputUse struct {
	inputs    []string
	producers []inputProducer
	// sent marks the pieces that are in a call. returned counts the pieces that
	// came back without a result.
	sent     []bool
	unsent   int
	returned int
	// keep is set if the inputs must stay until the pieces are done, because a
	// piece is in two calls or its call may wait at the runner.
	keep bool
	// fetched is set once the producers were told that the inputs are fetched;
	// returnedAtFetch is the value of returned at that time. gone is set once a
	// runner did not find its inputs after that.
	fetched         bool
	returnedAtFetch int
	gone            bool
}

func newInputUse(c *piecesCall) inputUse {
	return inputUse{inputs: c.Inputs, producers: c.Producers, sent: make([]bool, len(c.Items)), unsent: len(c.Items)}
}

// markSent records that piece n is in a call and reports whether all pieces are
// in calls now.
func (u *inputUse) markSent(n int) (all bool) {
	if u.sent[n] {
		u.keep = true
		return false
	}
	u.sent[n] = true
	u.unsent--
	return u.unsent == 0
}

// markReturned records that piece n must be sent again and still needs its
// inputs.
func (u *inputUse) markReturned(n int) {
	if u.sent[n] {
		u.sent[n] = false
		u.unsent++
		u.returned++
	}
}

// freeCalls returns the calls that tell the accounting VMs that the inputs are
// fetched.
func (u *inputUse) freeCalls() []*freeCall {
	var calls []*freeCall
	rest := u.inputs
	for _, m := range u.producers {
		n := min(m.Count, len(rest))
		calls = append(calls, &freeCall{Service: m.Service, Runner: m.Runner, Handles: rest[:n], Fetched: true, assembler: m.Assembler})
		rest = rest[n:]
	}
	return calls
}

// scheduleInputRelease frees the inputs of pieces once all of the pieces are in
// a call and the hold has expired.
func (o *pieceOwner) scheduleInputRelease(pool poolKey, call *batch.Call) {
	startsAtOnce := o.assemblers[pool].IsOnTime(call.Runner)
	for _, item := range call.Items {
		w := o.waiters[item.Ref]
		if w == nil || len(w.inputs.producers) == 0 {
			continue
		}
		w.inputs.keep = w.inputs.keep || !startsAtOnce
		if !w.inputs.markSent(int(item.Ref - w.firstRef)) {
			continue
		}
		returned := w.inputs.returned
		hold := o.g.holds.duration(pool.service, o.farthestProducer(w.inputs.producers))
		o.later.after(hold, func(o *pieceOwner, _ time.Time) { o.releaseInputs(w, returned) })
	}
}

// markUnfinished records the pieces that a call did not finish, so that their
// inputs are kept.
func (o *pieceOwner) markUnfinished(call *batch.Call) {
	for _, item := range call.Items {
		if w := o.waiters[item.Ref]; w != nil {
			w.inputs.markReturned(int(item.Ref - w.firstRef))
		}
	}
}

// releaseInputs tells the accounting VMs that the inputs were fetched, unless
// the pieces have ended or may need the inputs again.
func (o *pieceOwner) releaseInputs(w *pieceWaiter, returned int) {
	if w.pending == 0 || w.cancelled || w.inputs.returned != returned || w.inputs.keep {
		return
	}
	w.inputs.fetched, w.inputs.returnedAtFetch = true, returned
	for _, c := range w.inputs.freeCalls() {
		o.sendFree(c)
	}
}

// recordInputResult learns from the result of a piece whether its inputs were
// freed too early, once for all pieces that needed them. A piece that was sent
// again after the release says nothing about the hold.
func (o *pieceOwner) recordInputResult(service string, w *pieceWaiter, r batch.Result) {
	u := &w.inputs
	switch {
	case !u.fetched || u.gone:
	case r.Reason == batch.InputGone && !u.keep && u.returned == u.returnedAtFetch:
		u.gone = true
		o.g.holds.recordTooShort(service)
		o.g.metrics.inputsFreedEarly.Inc()
	case w.pending == 1 && r.Handle != "":
		o.g.holds.recordSufficient(service)
	}
}

// farthestProducer returns the distance of the farthest zone among the
// accounting VMs of the inputs.
func (o *pieceOwner) farthestProducer(producers []inputProducer) placement.Distance {
	far := placement.SameZone
	for _, m := range producers {
		if m.Assembler == o.g.opts.Self {
			continue
		}
		far = max(far, o.g.opts.Topology.DistanceTo(o.g.zoneOf(m.Assembler)))
	}
	return far
}
