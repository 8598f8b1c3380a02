package batch

import (
	"slices"
	"time"
)

// NoRunnerDelay is the delay returned while no runner is usable.
const NoRunnerDelay = 2 * time.Second

// Delay estimates the time until n items like this one would have results.
func (a *Assembler) Delay(now time.Time, item *Item, n int) time.Duration {
	var availableIn []time.Duration
	for _, rs := range a.runners {
		if !rs.mayBeCalled(now) {
			continue
		}
		busyFor := time.Duration(0)
		if rs.inFlight >= max(a.spec.Slots, 1) {
			// An overdue call is expected to take as long again as it is overdue.
			busyFor = max(rs.expectedEnd.Sub(now), now.Sub(rs.expectedEnd))
		}
		availableIn = append(availableIn, busyFor)
	}
	if len(availableIn) == 0 {
		return NoRunnerDelay
	}
	slices.Sort(availableIn)
	ranked := *item
	a.setRank(now, &ranked)
	ahead := 0
	for i := range a.queue {
		if !a.before(&ranked, &a.queue[i]) {
			ahead++
		}
	}
	batchSize := max(a.spec.MaxBatch, 1)
	callIndex := (ahead + n - 1) / batchSize
	start := availableIn[callIndex%len(availableIn)] + time.Duration(callIndex/len(availableIn))*a.spec.Estimate(batchSize)
	return start + a.spec.Estimate(min(ahead%batchSize+n, batchSize))
}
