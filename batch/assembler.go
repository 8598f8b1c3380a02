package batch

import (
	"slices"
	"strconv"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
)

const (
	// maxAttempts is the maximum number of calls that an item is sent in.
	maxAttempts = 3
	// minTimeToDeadline is the time before its deadline up to which an item is
	// still sent.
	minTimeToDeadline = 50 * time.Millisecond
)

// Assembler batches the items for the runners of one service into calls. It is
// not safe for concurrent use.
type Assembler struct {
	spec    catalog.StageRunner
	runners map[string]*runnerState
	queue   []Item
	// abandoned is true if waiting items are to be run by another assembler.
	abandoned bool
	// inFlight holds the calls sent and not yet reported to Done.
	inFlight []*inFlightCall
	// occurrences counts, for each item that has not ended, how often it is in
	// the queue or in a call in flight. An item of an overdue call is in both.
	occurrences map[uint64]int
}

// inFlightCall is a call that was sent and not yet reported to Done.
type inFlightCall struct {
	Call
	// overdueAt is when the items are also queued for another runner; overdue is
	// true once they were.
	overdueAt time.Time
	overdue   bool
}

// NewAssembler returns an assembler for runners with the properties in spec.
func NewAssembler(spec catalog.StageRunner) *Assembler {
	return &Assembler{spec: spec, runners: map[string]*runnerState{}, occurrences: map[uint64]int{}}
}

// SetSpec replaces the properties of the runners.
func (a *Assembler) SetSpec(spec catalog.StageRunner) { a.spec = spec }

// SetRunners replaces the list of runners. A runner with another ID at a known
// address starts with empty state.
func (a *Assembler) SetRunners(list []Runner) {
	seen := map[string]bool{}
	for _, r := range list {
		seen[r.Addr] = true
		known := a.runners[r.Addr]
		if known != nil && known.ID == r.ID {
			known.Runner = r
			continue
		}
		a.runners[r.Addr] = &runnerState{Runner: r, results: map[string]retainedResult{}}
	}
	for addr := range a.runners {
		if !seen[addr] {
			delete(a.runners, addr)
		}
	}
}

// Next returns the calls to send now, and the items that ended without a call.
// A call takes items in queue order, as far as they fit into a batch and into
// the runner's memory.
func (a *Assembler) Next(now time.Time) (calls []Call, ended []EndedItem) {
	for _, rs := range a.runners {
		rs.releaseExpired(now)
	}
	a.requeueOverdue(now)
	ended = a.dropExpired(now)
	if a.abandoned {
		return nil, append(ended, a.dropAll()...)
	}
	if len(a.queue) == 0 {
		return nil, ended
	}
	a.sortQueue(now)
	for len(a.queue) > 0 {
		rs := a.pickRunner(now)
		if rs == nil {
			break
		}
		items := a.takeBatch(rs)
		if len(items) == 0 {
			break
		}
		took := a.spec.Estimate(len(items))
		rs.inFlight++
		rs.lastUsed, rs.expectedEnd = now, now.Add(took)
		call := Call{Runner: rs.Addr, RunnerID: rs.ID, Items: items, ExpectedDuration: took}
		a.inFlight = append(a.inFlight, &inFlightCall{Call: call, overdueAt: now.Add(time.Duration(overdueFactor*float64(took)) + overdueGrace)})
		calls = append(calls, call)
	}
	return calls, ended
}

// pickRunner returns the usable runner with the least memory in use and, among
// equals, the least recently used one. It returns nil if no runner is usable.
func (a *Assembler) pickRunner(now time.Time) *runnerState {
	var best *runnerState
	for _, rs := range a.runners {
		if !rs.usable(now, max(a.spec.Slots, 1)) {
			continue
		}
		if best == nil || rs.usedBytes < best.usedBytes || rs.usedBytes == best.usedBytes && rs.lastUsed.Before(best.lastUsed) {
			best = rs
		}
	}
	return best
}

// takeBatch removes the next batch for rs from the queue.
func (a *Assembler) takeBatch(rs *runnerState) []Item {
	var items []Item
	size := max(a.spec.MaxBatch, 1)
	rs.maxResultBytes = 0
	if rs.failures > 0 {
		// After a lost call, probe the runner with a single item.
		size = 1
	}
	kept := a.queue[:0]
	free := int64(usableMemoryFraction*float64(a.spec.ResultMemoryBytes)) - rs.usedBytes
	for _, i := range a.queue {
		// A result larger than all of the memory may only go to an empty runner.
		fits := a.spec.ResultMemoryBytes == 0 || i.ResultBytes <= free || rs.usedBytes == 0
		if len(items) >= size || !fits {
			kept = append(kept, i)
			continue
		}
		free -= i.ResultBytes
		rs.usedBytes += i.ResultBytes
		rs.maxResultBytes = max(rs.maxResultBytes, i.ResultBytes)
		i.attempts++
		items = append(items, i)
	}
	a.queue = kept
	return items
}

// Done handles the end of a call. Items without a result are queued again if
// another attempt may succeed in time; the others are returned as ended.
// Unneeded are the results of items that ended earlier; the caller should have
// them freed.
func (a *Assembler) Done(now time.Time, c Call, r CallResult) (ended []EndedItem, unneeded []Result) {
	a.inFlight = slices.DeleteFunc(a.inFlight, func(o *inFlightCall) bool {
		return o.Runner == c.Runner && o.RunnerID == c.RunnerID && len(o.Items) > 0 && o.Items[0].Ref == c.Items[0].Ref && o.Items[0].attempts == c.Items[0].attempts
	})
	if rs := a.runners[c.Runner]; rs != nil && rs.ID == c.RunnerID {
		a.recordCallEnd(now, rs, c, r)
	}
	for n, item := range c.Items {
		result := Result{Reason: Failed}
		if n < len(r.Results) {
			result = r.Results[n]
		} else if r.Refused {
			// A refused call does not count as an attempt of its items.
			item.attempts--
		}
		result.Runner = c.Runner
		if a.occurrences[item.Ref] == 0 {
			if result.Handle != "" {
				unneeded = append(unneeded, result)
			}
			continue
		}
		if result.Handle != "" {
			a.removeItem(item.Ref)
			ended = append(ended, EndedItem{Item: item, Result: result})
			continue
		}
		if !a.removeOccurrence(item.Ref) {
			// Another call or the queue still holds the item.
			continue
		}
		if a.shouldRetry(now, item, result) {
			a.enqueue(item)
			continue
		}
		ended = append(ended, EndedItem{Item: item, Result: result})
	}
	return ended, unneeded
}

// recordCallEnd updates the state of the runner of a call that has ended.
func (a *Assembler) recordCallEnd(now time.Time, rs *runnerState, c Call, r CallResult) {
	rs.inFlight--
	rs.updateEndedOnTime(now, r)
	for n, item := range c.Items {
		if r.Lost {
			// The runner may still finish the call and keep results whose handles
			// are unknown here.
			rs.results[lostResultKey(item.Ref, item.attempts)] = retainedResult{bytes: item.ResultBytes, expires: now.Add(c.ExpectedDuration + a.spec.Retention)}
			continue
		}
		rs.usedBytes -= item.ResultBytes
		if n >= len(r.Results) {
			continue
		}
		if r.Results[n].Handle != "" {
			rs.usedBytes += item.ResultBytes
			rs.results[r.Results[n].Handle] = retainedResult{bytes: item.ResultBytes, expires: now.Add(a.spec.Retention)}
		}
		if r.Results[n].Reason == OutOfMemory {
			rs.addUnaccounted(now, item.ResultBytes)
		}
	}
	switch {
	case r.Lost:
		rs.backOff(now)
	case r.Refused:
		rs.backoffUntil = now.Add(refusedBackoff)
	default:
		rs.failures = 0
	}
}

// lostResultKey returns the key under which a result is accounted that a runner
// may hold after a lost call.
func lostResultKey(ref uint64, attempt int) string {
	return "lost " + strconv.FormatUint(ref, 10) + "/" + strconv.Itoa(attempt)
}

// shouldRetry reports whether another attempt may give a result in time.
func (a *Assembler) shouldRetry(now time.Time, item Item, r Result) bool {
	if r.Handle != "" || r.Reason == Late || r.Reason == InputGone {
		return false
	}
	return item.attempts < maxAttempts && now.Add(a.spec.Estimate(1)).Before(item.Deadline)
}

// IsOnTime reports whether the runner seems to start calls as soon as they
// arrive: its latest call ended within the expected time.
func (a *Assembler) IsOnTime(runner string) bool {
	rs := a.runners[runner]
	return rs != nil && rs.endedOnTime
}

// NextWake returns the time at which to call Next if nothing happens before, or
// the zero time if there are no items.
func (a *Assembler) NextWake(now time.Time) time.Time {
	if len(a.queue) == 0 && len(a.inFlight) == 0 {
		return time.Time{}
	}
	wake := now.Add(maxWakeDelay)
	for _, rs := range a.runners {
		if at := rs.availableAt(); at.After(now) && at.Before(wake) {
			wake = at
		}
	}
	return wake
}

// maxWakeDelay is the maximum time for which a passed deadline goes unnoticed.
const maxWakeDelay = 100 * time.Millisecond
