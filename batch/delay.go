package batch

import (
	"slices"
	"time"
)

// NoWorkerDelay is the delay that is told while no runner is usable.
const NoWorkerDelay = 2 * time.Second

// Delay gives the time until n items like this one would have their results.
func (a *Assembler) Delay(now time.Time, item *Item, n int) time.Duration {
	var free []time.Duration
	for _, w := range a.workers {
		if w.Draining || now.Before(w.avoidUntil) {
			continue
		}
		left := time.Duration(0)
		if w.calls >= max(a.spec.Slots, 1) {
			// A call that is overdue is expected to take as long again.
			left = max(w.freeAt.Sub(now), now.Sub(w.freeAt))
		}
		free = append(free, left)
	}
	if len(free) == 0 {
		return NoWorkerDelay
	}
	slices.Sort(free)
	ranked := *item
	a.setRank(now, &ranked)
	ahead := 0
	for i := range a.queue {
		if !a.before(&ranked, &a.queue[i]) {
			ahead++
		}
	}
	size := max(a.spec.Batch, 1)
	call := (ahead + n - 1) / size
	start := free[call%len(free)] + time.Duration(call/len(free))*a.spec.Estimate(size)
	return start + a.spec.Estimate(min(ahead%size+n, size))
}
