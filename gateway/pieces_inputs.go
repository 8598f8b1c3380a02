package gateway

import (
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/placement"
)

// inputUse follows the use of the inputs of one piecesCall. They may be freed
// before its pieces are made: a runner fetches them at the turn of a call, and
// they take up their makers' memory for the whole call otherwise.
type inputUse struct {
	inputs []string
	makers []inputMaker
	// sent says which pieces are in a call; round counts the pieces that came
	// back without a result.
	sent   []bool
	unsent int
	round  int
	// keep says that the inputs stay until the pieces are made, because one is
	// in two calls or its call may wait at the runner.
	keep bool
	// fetched says that the makers were told, in fetchedRound; gone that a runner
	// did not get its inputs after that.
	fetched      bool
	fetchedRound int
	gone         bool
}

func newInputUse(c *piecesCall) inputUse {
	return inputUse{inputs: c.Inputs, makers: c.Makers, sent: make([]bool, len(c.Items)), unsent: len(c.Items)}
}

// send notes that piece n is in a call. It says whether all are now.
func (u *inputUse) send(n int) (all bool) {
	if u.sent[n] {
		u.keep = true
		return false
	}
	u.sent[n] = true
	u.unsent--
	return u.unsent == 0
}

// comeBack notes that piece n has to be sent again and needs its inputs.
func (u *inputUse) comeBack(n int) {
	if u.sent[n] {
		u.sent[n] = false
		u.unsent++
		u.round++
	}
}

// freeCalls gives what to tell the makers' VMs.
func (u *inputUse) freeCalls() []*freeCall {
	var calls []*freeCall
	rest := u.inputs
	for _, m := range u.makers {
		n := min(m.Count, len(rest))
		calls = append(calls, &freeCall{Service: m.Service, Runner: m.Runner, Handles: rest[:n], Fetched: true, assembler: m.Assembler})
		rest = rest[n:]
	}
	return calls
}

// noteSent has the inputs of pieces freed some time after all of them are in a
// call.
func (p *pieceServer) noteSent(service string, call *batch.Call) {
	prompt := p.assemblers[service].IsPrompt(call.Runner)
	for _, item := range call.Items {
		w := p.waiters[item.Ref]
		if w == nil || len(w.inputs.makers) == 0 {
			continue
		}
		w.inputs.keep = w.inputs.keep || !prompt
		if !w.inputs.send(int(item.Ref - w.first)) {
			continue
		}
		round := w.inputs.round
		time.AfterFunc(p.g.holds.of(service, p.farthest(w.inputs.makers)), func() {
			p.post(func(time.Time) { p.noteFetched(w, round) })
		})
	}
}

// noteBack keeps the inputs of the pieces that a call did not end.
func (p *pieceServer) noteBack(call *batch.Call) {
	for _, item := range call.Items {
		if w := p.waiters[item.Ref]; w != nil {
			w.inputs.comeBack(int(item.Ref - w.first))
		}
	}
}

// noteFetched tells the makers' VMs that the inputs were fetched, unless their
// pieces have ended or may need them again.
func (p *pieceServer) noteFetched(w *pieceWaiter, round int) {
	if w.left == 0 || w.cancelled || w.inputs.round != round || w.inputs.keep {
		return
	}
	w.inputs.fetched, w.inputs.fetchedRound = true, round
	for _, c := range w.inputs.freeCalls() {
		p.sendFree(c)
	}
}

// noteInputs learns from the end of a piece whether its inputs were freed too
// early, once for all pieces that needed them. A piece that came back after
// that says nothing about the time of the fetch.
func (p *pieceServer) noteInputs(service string, w *pieceWaiter, r batch.Result) {
	u := &w.inputs
	switch {
	case !u.fetched || u.gone:
	case r.Reason == batch.InputGone && !u.keep && u.round == u.fetchedRound:
		u.gone = true
		p.g.holds.wasShort(service)
		p.g.count.inputsFreedEarly.Inc()
	case w.left == 1 && r.Handle != "":
		p.g.holds.wasEnough(service)
	}
}

// farthest gives the distance of the data centre of the farthest maker's VM.
func (p *pieceServer) farthest(makers []inputMaker) placement.Distance {
	far := placement.SameZone
	for _, m := range makers {
		if m.Assembler == p.g.opts.Self {
			continue
		}
		far = max(far, p.g.opts.Places.To(p.g.zoneOf(m.Assembler)))
	}
	return far
}
