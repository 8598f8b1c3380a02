package gateway

import (
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/placement"
)

const (
	// A runner fetches the inputs of a request when it starts the request. They
	// may be freed this long after the request was sent: sameRegionHold for a
	// runner in the same region, crossRegionHold for one in another region.
	sameRegionHold  = 60 * time.Millisecond
	crossRegionHold = 200 * time.Millisecond
	// An input that was freed too early must be recomputed by its whole chain of
	// stages. One such case multiplies the hold by holdGrowth, and each request
	// that found its inputs multiplies it by holdDecay. The hold stays between
	// the times above and maxHoldFactor times those.
	holdGrowth    = 1.5
	holdDecay     = 0.99
	maxHoldFactor = 4.0
)

// inputHoldTimes adapts, for each service, how long inputs are kept after a
// request was sent to a runner.
type inputHoldTimes struct {
	mu sync.Mutex
	// factor multiplies the base hold. A missing entry means 1.
	factor map[string]float64
}

func newInputHoldTimes() *inputHoldTimes { return &inputHoldTimes{factor: map[string]float64{}} }

// duration returns the hold for a runner at a distance.
func (h *inputHoldTimes) duration(service string, d placement.Distance) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold := sameRegionHold
	if d == placement.OtherRegion {
		hold = crossRegionHold
	}
	return time.Duration(max(h.factor[service], 1) * float64(hold))
}

// recordTooShort records that a runner found its inputs already freed.
func (h *inputHoldTimes) recordTooShort(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.factor[service] = min(max(h.factor[service], 1)*holdGrowth, maxHoldFactor)
}

// recordSufficient records that a runner found its inputs.
func (h *inputHoldTimes) recordSufficient(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g, ok := h.factor[service]; ok {
		h.factor[service] = max(g*holdDecay, 1)
	}
}

// inputRelease frees the inputs of a sent request when the hold expires.
type inputRelease struct {
	hold time.Duration
	free func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	freed   bool
}

// start starts the hold.
func (l *inputRelease) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped && l.timer == nil {
		l.timer = time.AfterFunc(l.hold, l.expire)
	}
}

func (l *inputRelease) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.freed = true
		l.free()
	}
}

// stop prevents any later release and reports whether the inputs were already
// freed.
func (l *inputRelease) stop() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	if l.timer != nil {
		l.timer.Stop()
	}
	return l.freed
}

// prepareInputRelease returns a release that frees the inputs while the runner
// processes the prompt, or nil if they are kept until the first event. Freeing
// them early matters because the memory for results limits the throughput of a
// stage runner, and the time until the first event is as long as a stage call.
func (r *request) prepareInputRelease(runner *placement.RunnerState, now time.Time) *inputRelease {
	if r.stages == nil || r.g.runners.hasQueue(now, runner) {
		return nil
	}
	stages := r.stages
	return &inputRelease{
		hold: r.g.holds.duration(r.service.Name, r.g.opts.Topology.DistanceTo(runner.Zone)),
		free: func() { r.freeFinal(stages) },
	}
}

// finishInputRelease stops the release after the runner's answer and sets
// inputsGone if another runner could not fetch the inputs anymore.
func (r *request) finishInputRelease(l *inputRelease, answered bool, n *sendResult) {
	if l == nil {
		return
	}
	freed := l.stop()
	switch {
	case freed && n.inputsGone:
		r.g.holds.recordTooShort(r.service.Name)
		r.g.metrics.inputsFreedEarly.Inc()
	case freed && answered:
		r.g.holds.recordSufficient(r.service.Name)
	}
	n.inputsGone = n.inputsGone || freed
}
