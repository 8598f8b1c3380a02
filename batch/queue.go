package batch

import (
	"slices"
	"time"
)

// Add queues items.
func (a *Assembler) Add(now time.Time, items ...Item) {
	for _, i := range items {
		a.setRank(now, &i)
		a.enqueue(i)
	}
}

func (a *Assembler) enqueue(i Item) {
	a.queue = append(a.queue, i)
	a.instances[i.Ref]++
}

// leave takes an item off one place and says whether it stands nowhere else.
func (a *Assembler) leave(ref uint64) (last bool) {
	a.instances[ref]--
	if a.instances[ref] > 0 {
		return false
	}
	delete(a.instances, ref)
	return true
}

// end takes an item off all places.
func (a *Assembler) end(ref uint64) {
	delete(a.instances, ref)
	a.queue = slices.DeleteFunc(a.queue, func(i Item) bool { return i.Ref == ref })
}

// Cancel drops the waiting items with these refs and gives those that are in
// no call either.
func (a *Assembler) Cancel(refs map[uint64]bool) (dropped []uint64) {
	a.queue = slices.DeleteFunc(a.queue, func(i Item) bool {
		if refs[i.Ref] && a.leave(i.Ref) {
			dropped = append(dropped, i.Ref)
		}
		return refs[i.Ref]
	})
	return dropped
}

// Waiting is the number of queued items.
func (a *Assembler) Waiting() int { return len(a.queue) }

const (
	// An item that can't be in time waits at most this long behind those that
	// can, so that one late item doesn't make the next one late. Work that was
	// begun waits less: its inputs take up memory and are dropped after a while.
	lateStartWait = 2500 * time.Millisecond
	lateNextWait  = 900 * time.Millisecond
)

// before orders the queue.
func (a *Assembler) before(x, y *Item) bool { return x.rank.Before(y.rank) }

// setRank ranks an item when it is queued, by the time that it is due and how
// long it gives way.
func (a *Assembler) setRank(now time.Time, i *Item) {
	i.rank = i.Due.Add(i.Yield)
	a.moveLate(now, i)
}

// moveLate moves an item back that can't be in time any more. Without it, the
// items at the front of a long queue would be those that have just become late,
// and each would make the next one late.
func (a *Assembler) moveLate(now time.Time, i *Item) {
	if i.late || !now.Add(a.spec.Estimate(1)).After(i.Due) {
		return
	}
	wait := lateStartWait
	if len(i.Inputs) > 0 {
		wait = lateNextWait
	}
	i.late = true
	i.rank = now.Add(wait + i.Yield)
}

// sortQueue puts the items in the order of their ranks.
func (a *Assembler) sortQueue(now time.Time) {
	for n := range a.queue {
		a.moveLate(now, &a.queue[n])
	}
	slices.SortStableFunc(a.queue, func(x, y Item) int { return x.rank.Compare(y.rank) })
}

// dropLate ends the items that are of no use any more.
func (a *Assembler) dropLate(now time.Time) []End {
	var ended []End
	a.queue = slices.DeleteFunc(a.queue, func(i Item) bool {
		if now.Add(minLeft).Before(i.Deadline) {
			return false
		}
		if a.leave(i.Ref) {
			ended = append(ended, End{Item: i, Result: Result{Reason: Late}})
		}
		return true
	})
	return ended
}
