package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// limitGain is the weight of a new limit against the present one.
	limitGain = 0.3
	// smoothGain is the weight of a window's median in the mean from which the
	// long-term minimum is taken. The least of many medians of a few samples
	// lies far below the usual latency and would look like congestion.
	smoothGain = 0.2
	// overdueFactor is how far above Tolerance the age of most requests under
	// way must be to count as congestion.
	overdueFactor = 8
	// firstGrants is the number of requests whose latencies give the first
	// baseline. They are taken in the order of the grants: the first to end are
	// the shortest ones, and a baseline from them would show congestion for good.
	firstGrants = 16
	// firstWait is the time after which the baseline is taken from those of the
	// first requests that have ended.
	firstWait = 10 * time.Second
	// gradientFloor bounds how far one window lowers the limit.
	gradientFloor = 0.6
	// rampFactor is the growth per window before the first sign of congestion.
	rampFactor = 1.5
	// windowCap bounds the samples kept for one window's median.
	windowCap = 128
)

// Outcome says how a request ended, as far as it concerns the limit.
type Outcome uint8

// Outcomes of a granted request.
const (
	// OK is a response with a valid latency.
	OK Outcome = iota
	// Dropped is a 429 or a timeout: the pool is overloaded.
	Dropped
	// Ignored says nothing about the pool, as with a caller that has gone.
	Ignored
)

// Sample is what a granted request tells the limiter.
type Sample struct {
	// Latency must be comparable between the requests of a pool: for engines
	// the time to the first token, else the whole time at the upstream.
	Latency time.Duration
	Outcome Outcome
	// delay is how long after its latency the sample was given.
	delay time.Duration
	// first marks the samples of the first requests granted.
	first bool
}

// Limiter is an adaptive concurrency limit. Once for each window it compares
// the median latency with a long-term minimum and lowers the limit by their
// ratio. What it adds follows the VM's own demand while latency is high: all
// VMs see the same latency, so with a constant step their limits would become
// equal, whatever their shares of the traffic.
type Limiter struct {
	opts     LimiterOptions
	limit    float64
	baseline float64
	// smooth is the mean of the windows' medians.
	smooth  float64
	window  []float64
	samples int
	drops   int
	peak    int
	started time.Time
	// ramped says that the limit has met congestion once. Before, it grows
	// faster: a VM that has just started must not reject what the pool can take.
	ramped bool
	// offered counts the requests offered in the window.
	offered int
	// extra is the mean time in nanoseconds that a place is held beyond the
	// latency of its sample, as by an engine after the first token.
	extra float64
	// delay is the mean delay of samples in nanoseconds, and healthyAt the time
	// of the last one with a usual latency.
	delay     float64
	healthyAt time.Time
	// first holds the latencies of the first requests, firstLost counts those
	// without one, and openedAt is when the first sample came.
	first []float64
	// gated says that a gate marks the first requests.
	gated     bool
	firstLost int
	openedAt  time.Time
}

// NewLimiter gives a limiter at its initial limit.
func NewLimiter(opts LimiterOptions) *Limiter {
	return &Limiter{opts: opts, limit: opts.Initial}
}

// Limit gives the number of requests that may be under way.
func (l *Limiter) Limit() int { return int(l.limit) }

// Offer counts a request that asks for a place, whether or not it gets one.
func (l *Limiter) Offer() { l.offered++ }

// Baseline gives the long-term minimum of the window's median latency.
func (l *Limiter) Baseline() time.Duration { return time.Duration(l.baseline) }

// Observe takes a sample of a request that ended while inFlight requests were
// under way, itself included.
func (l *Limiter) Observe(s Sample, inFlight int, now time.Time) {
	if l.started.IsZero() {
		l.started, l.openedAt = now, now
	}
	l.peak = max(l.peak, inFlight)
	if s.first {
		l.observeFirst(s)
	}
	switch s.Outcome {
	case Ignored:
		return
	case Dropped:
		l.drops++
	case OK:
		l.observeHealth(s, now)
		if len(l.window) < windowCap {
			l.window = append(l.window, float64(s.Latency))
		}
	}
	l.samples++
	if l.samples >= l.opts.WindowSamples && now.Sub(l.started) >= l.opts.Window {
		l.adjust(now)
	}
}

// observeHealth notes the delay of samples and the time of usual ones.
func (l *Limiter) observeHealth(s Sample, now time.Time) {
	l.delay += holdGain * (float64(s.delay) - l.delay)
	if float64(s.Latency) <= 2*l.opts.Tolerance*l.baseline {
		l.healthyAt = now
	}
}

// overdueAfter gives the age at which a request without a sample shows
// congestion; 0 while nothing is known or as long as usual latencies have been
// sampled, since the requests under way are then merely long ones.
func (l *Limiter) overdueAfter(now time.Time) time.Duration {
	after := time.Duration(overdueFactor * (l.opts.Tolerance*l.baseline + l.delay))
	if l.baseline == 0 || now.Sub(l.healthyAt) < after {
		return 0
	}
	return after
}

// Overdue lowers the limit because most requests under way have had no answer
// for longer than overdueAfter. Their samples would come too late.
func (l *Limiter) Overdue(now time.Time) {
	l.ramped = true
	l.set(l.limit * (1 - limitGain*(1-gradientFloor)))
	l.offered = 0
	l.started = now
}

func (l *Limiter) adjust(now time.Time) {
	busy := float64(l.peak) >= l.limit/2
	if l.establish(now) && len(l.window) > 0 {
		l.follow(l.median(), busy, now)
	}
	if float64(l.drops) > l.opts.DropTolerance*float64(l.samples) {
		l.set(l.limit * l.opts.Backoff)
	}
	l.window = l.window[:0]
	l.samples, l.drops, l.peak, l.offered = 0, 0, 0, 0
	l.started = now
}

// observeFirst collects the latencies of the first requests.
func (l *Limiter) observeFirst(s Sample) {
	if s.Outcome == OK {
		l.first = append(l.first, float64(s.Latency))
	} else {
		l.firstLost++
	}
}

// establish sets the baseline once the first requests have ended; false before.
// Where none of them gave a latency, or without a gate, it takes the window's.
func (l *Limiter) establish(now time.Time) bool {
	if l.baseline > 0 {
		return true
	}
	complete := !l.gated || len(l.first)+l.firstLost >= firstGrants || now.Sub(l.openedAt) >= firstWait
	if !complete {
		return false
	}
	if len(l.first) == 0 {
		l.first = l.window
	}
	if len(l.first) == 0 {
		return false
	}
	slices.Sort(l.first)
	l.baseline = l.first[len(l.first)/2]
	l.smooth = l.baseline
	l.first = nil
	return true
}

// follow updates the baseline and the limit from a window's median latency.
func (l *Limiter) follow(latency float64, busy bool, now time.Time) {
	l.smooth += smoothGain * (latency - l.smooth)
	if l.smooth < l.baseline {
		l.baseline = l.smooth
	} else {
		life := l.opts.BaselineIdle
		if busy {
			life = l.opts.BaselineRise
		}
		elapsed := float64(now.Sub(l.started)) / float64(life)
		l.baseline += (latency - l.baseline) * min(1, elapsed)
	}
	gradient := min(1, max(gradientFloor, l.opts.Tolerance*l.baseline/latency))
	if gradient < 1 || l.drops > 0 {
		l.ramped = true
	}
	if !l.ramped {
		if busy {
			l.set(l.limit * rampFactor)
		}
		return
	}
	step := 1 + l.opts.DemandPart*l.demand(now)
	if gradient == 1 {
		step = max(step, math.Sqrt(l.limit))
	}
	target := l.limit*gradient + step
	if target > l.limit && (!busy || l.drops > 0) {
		return
	}
	l.set(l.limit + limitGain*(target-l.limit))
}

// observeHold takes the time that a place was held by a request whose latency
// was sampled.
func (l *Limiter) observeHold(hold, latency time.Duration) {
	l.extra += holdGain * (float64(max(0, hold-latency)) - l.extra)
}

// demand gives the places that the offered requests would hold at once with the
// long-term latency. With the present latency, the limit would feed on the
// congestion that it causes.
func (l *Limiter) demand(now time.Time) float64 {
	elapsed := float64(now.Sub(l.started))
	if elapsed <= 0 {
		return 0
	}
	return float64(l.offered) / elapsed * (l.baseline + l.extra)
}

func (l *Limiter) set(limit float64) {
	l.limit = min(l.opts.Max, max(l.opts.Min, limit))
}

func (l *Limiter) median() float64 {
	slices.Sort(l.window)
	return l.window[len(l.window)/2]
}
