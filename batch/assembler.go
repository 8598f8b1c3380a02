package batch

import (
	"slices"
	"strconv"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
)

const (
	// maxTries bounds the calls that hold one item.
	maxTries = 3
	// minLeft is the least time before its deadline with which an item is
	// still sent.
	minLeft = 50 * time.Millisecond
)

// Assembler assembles the calls of one service.
type Assembler struct {
	spec    catalog.Pieces
	workers map[string]*worker
	queue   []Item
	// open are the calls under way.
	open []*openCall
	// instances counts, for each item that has not ended, the places where it
	// stands: the queue and the open calls. An item of an overdue call stands
	// in the queue too.
	instances map[uint64]int
}

// openCall is a call under way.
type openCall struct {
	Call
	// overdueAt is when its items are also tried elsewhere; overdue says that
	// they are.
	overdueAt time.Time
	overdue   bool
}

// NewAssembler makes an assembler for runners as spec describes.
func NewAssembler(spec catalog.Pieces) *Assembler {
	return &Assembler{spec: spec, workers: map[string]*worker{}, instances: map[uint64]int{}}
}

// SetSpec takes a changed description of the runners.
func (a *Assembler) SetSpec(spec catalog.Pieces) { a.spec = spec }

// SetWorkers takes the present runners. A runner with another ID at the same
// address is a new one.
func (a *Assembler) SetWorkers(list []Worker) {
	seen := map[string]bool{}
	for _, w := range list {
		seen[w.Addr] = true
		old := a.workers[w.Addr]
		if old != nil && old.ID == w.ID {
			old.Worker = w
			continue
		}
		a.workers[w.Addr] = &worker{Worker: w, results: map[string]result{}}
	}
	for addr := range a.workers {
		if !seen[addr] {
			delete(a.workers, addr)
		}
	}
}

// Next gives the calls to send now and the items that have ended without one.
// A call takes what fits into a batch and into the runner's memory, in the
// order of the queue.
func (a *Assembler) Next(now time.Time) (calls []Call, ended []End) {
	for _, w := range a.workers {
		w.release(now)
	}
	a.repeatOverdue(now)
	ended = a.dropLate(now)
	if len(a.queue) == 0 {
		return nil, ended
	}
	a.sortQueue(now)
	for len(a.queue) > 0 {
		w := a.pick(now)
		if w == nil {
			break
		}
		items := a.take(w)
		if len(items) == 0 {
			break
		}
		took := a.spec.Estimate(len(items))
		w.calls++
		w.lastUsed, w.freeAt = now, now.Add(took)
		call := Call{Runner: w.Addr, RunnerID: w.ID, Items: items, Took: took}
		a.open = append(a.open, &openCall{Call: call, overdueAt: now.Add(time.Duration(overdueFactor*float64(took)) + overdueGrace)})
		calls = append(calls, call)
	}
	return calls, ended
}

// pick gives the usable runner with the most free memory, the longest unused
// one among equals.
func (a *Assembler) pick(now time.Time) *worker {
	var best *worker
	for _, w := range a.workers {
		if !w.usable(now, max(a.spec.Slots, 1)) {
			continue
		}
		if best == nil || w.room < best.room || w.room == best.room && w.lastUsed.Before(best.lastUsed) {
			best = w
		}
	}
	return best
}

// take removes the next batch for w from the queue.
func (a *Assembler) take(w *worker) []Item {
	var items []Item
	size := max(a.spec.Batch, 1)
	w.resultBytes = 0
	if w.failures > 0 {
		// A runner that was silent is tried with one item.
		size = 1
	}
	kept := a.queue[:0]
	free := int64(roomShare*float64(a.spec.RoomBytes)) - w.room
	for _, i := range a.queue {
		// A result larger than all of the memory is tried at an empty runner.
		fits := a.spec.RoomBytes == 0 || i.ResultBytes <= free || w.room == 0
		if len(items) >= size || !fits {
			kept = append(kept, i)
			continue
		}
		free -= i.ResultBytes
		w.room += i.ResultBytes
		w.resultBytes = max(w.resultBytes, i.ResultBytes)
		i.tries++
		items = append(items, i)
	}
	a.queue = kept
	return items
}

// Done takes the end of a call. Items without a result are queued again while
// that may help; the others have ended. Surplus are results of items that have
// ended before; nobody needs them.
func (a *Assembler) Done(now time.Time, c Call, r CallResult) (ended []End, surplus []Result) {
	a.open = slices.DeleteFunc(a.open, func(o *openCall) bool {
		return o.Runner == c.Runner && o.RunnerID == c.RunnerID && len(o.Items) > 0 && o.Items[0].Ref == c.Items[0].Ref && o.Items[0].tries == c.Items[0].tries
	})
	if w := a.workers[c.Runner]; w != nil && w.ID == c.RunnerID {
		a.settle(now, w, c, r)
	}
	for n, item := range c.Items {
		result := Result{Reason: Failed}
		if n < len(r.Results) {
			result = r.Results[n]
		} else if r.Refused {
			// A refusal does not count against the item.
			item.tries--
		}
		result.Runner = c.Runner
		if a.instances[item.Ref] == 0 {
			if result.Handle != "" {
				surplus = append(surplus, result)
			}
			continue
		}
		if result.Handle != "" {
			a.end(item.Ref)
			ended = append(ended, End{Item: item, Result: result})
			continue
		}
		if !a.leave(item.Ref) {
			// It is still tried elsewhere.
			continue
		}
		if a.again(now, item, result) {
			a.enqueue(item)
			continue
		}
		ended = append(ended, End{Item: item, Result: result})
	}
	return ended, surplus
}

// settle accounts the end of a call at its runner.
func (a *Assembler) settle(now time.Time, w *worker, c Call, r CallResult) {
	w.calls--
	w.notePrompt(now, r)
	for n, item := range c.Items {
		if r.Lost {
			// The runner may finish the call and keep results that nobody can
			// name.
			w.results[lostResult(item.Ref, item.tries)] = result{bytes: item.ResultBytes, expires: now.Add(c.Took + a.spec.Retention)}
			continue
		}
		w.room -= item.ResultBytes
		if n >= len(r.Results) {
			continue
		}
		if r.Results[n].Handle != "" {
			w.room += item.ResultBytes
			w.results[r.Results[n].Handle] = result{bytes: item.ResultBytes, expires: now.Add(a.spec.Retention)}
		}
		if r.Results[n].Reason == NoRoom {
			w.hadNoRoom(now, item.ResultBytes)
		}
	}
	switch {
	case r.Lost:
		w.failed(now)
	case r.Refused:
		w.avoidUntil = now.Add(fullAvoid)
	default:
		w.failures = 0
	}
}

// lostResult names a result that may exist at a runner, by the item and the
// try.
func lostResult(ref uint64, try int) string {
	return "lost " + strconv.FormatUint(ref, 10) + "/" + strconv.Itoa(try)
}

func (a *Assembler) again(now time.Time, item Item, r Result) bool {
	if r.Handle != "" || r.Reason == Late || r.Reason == InputGone {
		return false
	}
	return item.tries < maxTries && now.Add(a.spec.Estimate(1)).Before(item.Deadline)
}

// IsPrompt says that a runner works on calls as soon as they arrive.
func (a *Assembler) IsPrompt(runner string) bool {
	w := a.workers[runner]
	return w != nil && w.prompt
}

// Wake is when Next should be asked again without any other event, zero if
// nothing waits.
func (a *Assembler) Wake(now time.Time) time.Time {
	if len(a.queue) == 0 && len(a.open) == 0 {
		return time.Time{}
	}
	wake := now.Add(wakeEvery)
	for _, w := range a.workers {
		if w.avoidUntil.After(now) && w.avoidUntil.Before(wake) {
			wake = w.avoidUntil
		}
	}
	return wake
}

// wakeEvery bounds how long a waiting item's deadline goes unnoticed.
const wakeEvery = 100 * time.Millisecond
