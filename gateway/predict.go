package gateway

import (
	"math/rand/v2"
	"sync"
	"time"
)

// latencyTracker keeps a moving average of a duration for each route, such as that
// from the end of the stages to the first event.
type latencyTracker struct {
	mu       sync.Mutex
	averages map[string]time.Duration
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{averages: map[string]time.Duration{}}
}

// latencyWeight is the weight of a new sample in the moving average.
const latencyWeight = 0.1

func (t *latencyTracker) observe(route string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.averages[route]
	if !ok {
		t.averages[route] = latency
		return
	}
	t.averages[route] = old + time.Duration(latencyWeight*float64(latency-old))
}

func (t *latencyTracker) average(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.averages[route]
}

// estimateFirstEvent returns the expected time until the first event, based on
// the delays last reported by the assemblers of the stages.
func (r *request) estimateFirstEvent(now time.Time) time.Duration {
	ends := make([]time.Duration, len(r.route.Stages))
	var last time.Duration
	allowed := r.allowedRegions()
	for i := range r.route.Stages {
		own := r.stageTime(i)
		if own == 0 {
			continue
		}
		for _, a := range r.route.Stages[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += max(own, r.g.pieces.currentDelay(now, r.route.Stages[i].Service, allowed))
		last = max(last, ends[i])
	}
	return last + r.g.firstEvents.average(r.route.Name)
}

const (
	// baseLatencyMargin is the factor applied to the estimate, because queues
	// grow after a request is admitted: without it, all requests admitted under
	// load finish just too late.
	baseLatencyMargin = 1.15
	// priorityMargin is added for each priority level, so that less urgent
	// requests are refused first.
	priorityMargin = 0.08
)

func (r *request) latencyMargin() float64 {
	return baseLatencyMargin + priorityMargin*float64(r.route.Priority)
}

// refuseIfLate refuses a request whose first event is expected too late. On its
// first attempt, a caller is asked to retry once the queues are shorter. A
// caller that was probably refused before is served late rather than refused
// again.
func (r *request) refuseIfLate(now time.Time) *Refusal {
	expected := r.estimateFirstEvent(now)
	limit := r.firstEventDeadline()
	if r.isFirstAttempt() {
		limit = r.due
	}
	excess := now.Add(time.Duration(r.latencyMargin() * float64(expected))).Sub(limit)
	if excess <= 0 {
		return nil
	}
	return &Refusal{Reason: StagesLate, RetryAfter: predictedRetryDelay(excess), Detail: "foreseen after " + expected.Round(time.Millisecond).String()}
}

const (
	minPredictedRetry = 400 * time.Millisecond
	maxPredictedRetry = 2500 * time.Millisecond
	// predictedRetryJitter spreads the retries of callers that were refused
	// together.
	predictedRetryJitter = 0.6
)

// predictedRetryDelay returns when a caller should retry: after the excess is
// worked off, within bounds, plus a random jitter.
func predictedRetryDelay(excess time.Duration) time.Duration {
	excess = min(max(excess, minPredictedRetry), maxPredictedRetry)
	return excess + time.Duration(predictedRetryJitter*rand.Float64()*float64(excess))
}
