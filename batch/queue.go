package batch

import (
	"slices"
	"time"
)

// Add appends items to the queue.
func (a *Assembler) Add(now time.Time, items ...Item) {
	for _, i := range items {
		a.setRank(now, &i)
		a.enqueue(i)
	}
}

func (a *Assembler) enqueue(i Item) {
	a.queue = append(a.queue, i)
	a.occurrences[i.Ref]++
}

// removeOccurrence records that the item has left the queue or a call, and
// reports whether no other occurrence is left.
func (a *Assembler) removeOccurrence(ref uint64) (last bool) {
	a.occurrences[ref]--
	if a.occurrences[ref] > 0 {
		return false
	}
	delete(a.occurrences, ref)
	return true
}

// removeItem removes all occurrences of an item.
func (a *Assembler) removeItem(ref uint64) {
	delete(a.occurrences, ref)
	a.queue = slices.DeleteFunc(a.queue, func(i Item) bool { return i.Ref == ref })
}

// Cancel removes the items with these refs from the queue and returns the refs
// of those that are in no call in flight either.
func (a *Assembler) Cancel(refs map[uint64]bool) (dropped []uint64) {
	a.queue = slices.DeleteFunc(a.queue, func(i Item) bool {
		if refs[i.Ref] && a.removeOccurrence(i.Ref) {
			dropped = append(dropped, i.Ref)
		}
		return refs[i.Ref]
	})
	return dropped
}

// QueueLen returns the number of queued items.
func (a *Assembler) QueueLen() int { return len(a.queue) }

const (
	// An item that can no longer be on time waits at most this long behind items
	// that can, so that one late item doesn't make the next one late. Items of
	// later stages wait less because their inputs use memory and expire.
	lateFirstStageWait = 2500 * time.Millisecond
	lateNextStageWait  = 900 * time.Millisecond
)

// before reports whether x precedes y in the queue.
func (a *Assembler) before(x, y *Item) bool { return x.rank.Before(y.rank) }

// setRank sets the rank of an item when it is queued, from its due time and
// yield time.
func (a *Assembler) setRank(now time.Time, i *Item) {
	i.rank = i.Due.Add(i.YieldTime)
	a.demoteLate(now, i)
}

// demoteLate lowers the rank of an item that can no longer be on time.
// Otherwise, the front of a long queue would consist of items that have just
// become late, and serving them would make the next ones late.
func (a *Assembler) demoteLate(now time.Time, i *Item) {
	if i.isLate || !now.Add(a.spec.Estimate(1)).After(i.Due) {
		return
	}
	wait := lateFirstStageWait
	if len(i.Inputs) > 0 {
		wait = lateNextStageWait
	}
	i.isLate = true
	i.rank = now.Add(wait + i.YieldTime)
}

// sortQueue sorts the queue by rank.
func (a *Assembler) sortQueue(now time.Time) {
	for n := range a.queue {
		a.demoteLate(now, &a.queue[n])
	}
	slices.SortStableFunc(a.queue, func(x, y Item) int { return x.rank.Compare(y.rank) })
}

// SetAbandoned sets whether waiting items end without a runner, so that another
// assembler can run them. Calls in flight go on.
func (a *Assembler) SetAbandoned(abandoned bool) { a.abandoned = abandoned }

// IsAbandoned reports what SetAbandoned has set last.
func (a *Assembler) IsAbandoned() bool { return a.abandoned }

// HasUsableRunner reports whether a runner is listed that is not draining.
func (a *Assembler) HasUsableRunner() bool {
	for _, rs := range a.runners {
		if !rs.Draining {
			return true
		}
	}
	return false
}

// dropAll empties the queue and returns the items that are in no call in flight as
// ended.
func (a *Assembler) dropAll() []EndedItem {
	var ended []EndedItem
	for _, i := range a.queue {
		if a.removeOccurrence(i.Ref) {
			ended = append(ended, EndedItem{Item: i, Result: Result{Reason: NoRunner}})
		}
	}
	a.queue = nil
	return ended
}

// dropExpired removes the items whose deadline is too close and returns those
// that are in no call in flight as ended.
func (a *Assembler) dropExpired(now time.Time) []EndedItem {
	var ended []EndedItem
	a.queue = slices.DeleteFunc(a.queue, func(i Item) bool {
		if now.Add(minTimeToDeadline).Before(i.Deadline) {
			return false
		}
		if a.removeOccurrence(i.Ref) {
			ended = append(ended, EndedItem{Item: i, Result: Result{Reason: Late}})
		}
		return true
	})
	return ended
}
