package gateway

import (
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/placement"
)

const (
	// A runner fetches a request's inputs when it takes the request in. They may
	// be freed nearHold after the request was sent within a region, and farHold
	// after it was sent to another one.
	nearHold = 60 * time.Millisecond
	farHold  = 200 * time.Millisecond
	// An input that was freed too early costs its whole chain of stages, so one
	// such case lengthens the hold by holdGrowth; each request that has its
	// inputs shortens it by holdDecay, never below the times above.
	holdGrowth = 1.5
	holdDecay  = 0.99
	mostGrowth = 4.0
)

// inputHolds learns, for each service, how long its runners need the inputs of
// a request that was sent to them.
type inputHolds struct {
	mu sync.Mutex
	// growth multiplies the least hold; absent means 1.
	growth map[string]float64
}

func newInputHolds() *inputHolds { return &inputHolds{growth: map[string]float64{}} }

// of gives the hold for a runner at a distance.
func (h *inputHolds) of(service string, d placement.Distance) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold := nearHold
	if d == placement.OtherRegion {
		hold = farHold
	}
	return time.Duration(max(h.growth[service], 1) * float64(hold))
}

// wasShort notes that a runner found freed inputs gone.
func (h *inputHolds) wasShort(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.growth[service] = min(max(h.growth[service], 1)*holdGrowth, mostGrowth)
}

// wasEnough notes that a runner had its inputs.
func (h *inputHolds) wasEnough(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g, ok := h.growth[service]; ok {
		h.growth[service] = max(g*holdDecay, 1)
	}
}

// inputRelease frees the inputs of one sent request after its hold.
type inputRelease struct {
	hold time.Duration
	free func()

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	freed bool
}

// sent starts the hold.
func (l *inputRelease) sent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended && l.timer == nil {
		l.timer = time.AfterFunc(l.hold, l.expire)
	}
}

func (l *inputRelease) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.freed = true
		l.free()
	}
}

// end says whether the inputs were freed; from now on they are not.
func (l *inputRelease) end() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if l.timer != nil {
		l.timer.Stop()
	}
	return l.freed
}

// releaseInputs prepares the release of the inputs while the runner reads the
// prompt: a stage runner's memory for results bounds its throughput, and the
// time until the first event is as long as a stage call. It gives nil if they
// are kept until the first event.
func (r *request) releaseInputs(entry *placement.Entry, now time.Time) *inputRelease {
	if r.stages == nil || r.g.runners.isQueueing(now, entry) {
		return nil
	}
	stages := r.stages
	return &inputRelease{
		hold: r.g.holds.of(r.service.Name, r.g.opts.Places.To(entry.Zone)),
		free: func() { r.freeFinal(stages) },
	}
}

// endRelease ends the release with the runner's answer and marks the inputs as
// gone where the next runner cannot have them.
func (r *request) endRelease(l *inputRelease, answered bool, n *noted) {
	if l == nil {
		return
	}
	freed := l.end()
	switch {
	case freed && n.inputsGone:
		r.g.holds.wasShort(r.service.Name)
		r.g.count.inputsFreedEarly.Inc()
	case freed && answered:
		r.g.holds.wasEnough(r.service.Name)
	}
	n.inputsGone = n.inputsGone || freed
}
