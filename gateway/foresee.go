package gateway

import (
	"math/rand/v2"
	"sync"
	"time"
)

// engineTimes learns how long a route's requests take from the end of their
// stages to the first event.
type engineTimes struct {
	mu      sync.Mutex
	average map[string]time.Duration
}

func newEngineTimes() *engineTimes {
	return &engineTimes{average: map[string]time.Duration{}}
}

// engineWeight is the weight of a new time in the moving average.
const engineWeight = 0.1

func (e *engineTimes) note(route string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, ok := e.average[route]
	if !ok {
		e.average[route] = took
		return
	}
	e.average[route] = old + time.Duration(engineWeight*float64(took-old))
}

func (e *engineTimes) of(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.average[route]
}

// foreseen is the time until the first event, from the delays that the stages'
// assemblers told last.
func (r *request) foreseen(now time.Time) time.Duration {
	ends := make([]time.Duration, len(r.route.Stages))
	var last time.Duration
	for i := range r.route.Stages {
		own := r.ownTime(i)
		if own == 0 {
			continue
		}
		for _, a := range r.route.Stages[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += max(own, r.g.pieces.knownDelay(now, r.route.Stages[i].Service))
		last = max(last, ends[i])
	}
	return last + r.g.engines.of(r.route.Name)
}

const (
	// leastMargin is kept for queues that grow after the request was let in:
	// without it, all that are let in under load come just too late.
	leastMargin = 1.15
	// rankMargin is kept for each rank, so that less urgent requests are
	// refused first.
	rankMargin = 0.08
)

func (r *request) margin() float64 {
	return leastMargin + rankMargin*float64(r.route.Priority)
}

// refuseLate refuses a request whose first event would come too late. A caller
// that has not been refused before is asked to come back once the queues have
// become shorter; one that has is served late rather than refused again.
func (r *request) refuseLate(now time.Time) *Refusal {
	foreseen := r.foreseen(now)
	limit := r.firstBy()
	if r.isFirst() {
		limit = r.due
	}
	excess := now.Add(time.Duration(r.margin() * float64(foreseen))).Sub(limit)
	if excess <= 0 {
		return nil
	}
	return &Refusal{Reason: StagesLate, RetryAfter: retryIn(excess), Detail: "foreseen after " + foreseen.Round(time.Millisecond).String()}
}

const (
	leastRetry = 400 * time.Millisecond
	mostRetry  = 2500 * time.Millisecond
	// retrySpread spreads callers that were refused together.
	retrySpread = 0.6
)

// retryIn tells a caller to come back when what would make it late is worked
// off, spread over some time.
func retryIn(excess time.Duration) time.Duration {
	excess = min(max(excess, leastRetry), mostRetry)
	return excess + time.Duration(retrySpread*rand.Float64()*float64(excess))
}
