package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// limitGain is the weight of a new target in the moving average of the limit.
	limitGain = 0.3
	// medianGain is the weight of a window's median in the moving average from
	// which the baseline is taken. The minimum of many medians of few samples
	// each lies far below the usual latency, which would then look like
	// congestion.
	medianGain = 0.2
	// overdueFactor multiplies the tolerated latency to give the age at which
	// requests in flight count as overdue.
	overdueFactor = 8
	// initialSamples is the number of requests whose latencies set the initial
	// baseline. These are the first requests granted, not the first to end: the
	// first to end are the shortest ones, and against their latency every later
	// one would look like congestion.
	initialSamples = 16
	// initialSamplesTimeout is the time after which the initial baseline is set
	// from the samples received so far.
	initialSamplesTimeout = 10 * time.Second
	// minGradient bounds how far a single window can lower the limit.
	minGradient = 0.6
	// rampFactor is the growth per window until congestion is first seen.
	rampFactor = 1.5
	// maxWindowLatencies bounds the latencies kept for one window's median.
	maxWindowLatencies = 128
)

// Outcome classifies the end of a request for the limiter.
type Outcome uint8

// Outcomes of a granted request.
const (
	// OK is a response with a valid latency.
	OK Outcome = iota
	// Dropped is a 429 or a timeout, which means that the pool is overloaded.
	Dropped
	// Ignored is an end that carries no information about the pool, such as a
	// caller that disconnected.
	Ignored
)

// Sample is the measurement of one granted request.
type Sample struct {
	// Latency must be comparable between the requests of a pool: the time to the
	// first token for engines, otherwise the whole time at the upstream.
	Latency time.Duration
	Outcome Outcome
	// delay is the time from the end of the measured latency to the observation
	// of the sample.
	delay time.Duration
	// forBaseline marks the samples of the first initialSamples requests granted.
	forBaseline bool
}

// Limiter is an adaptive concurrency limit. Once per window it compares the
// median latency with a baseline, the long-term minimum, and lowers the limit by
// their ratio. While latency is high, the additive step grows with the VM's own
// demand: all VMs see the same latency, so with a constant step their limits
// would converge to the same value regardless of their shares of the traffic.
type Limiter struct {
	opts  LimiterOptions
	limit float64
	// baselineNS is the baseline in nanoseconds; 0 until it is known.
	baselineNS float64
	// smoothedMedianNS is the moving average of the windows' medians.
	smoothedMedianNS float64
	// windowLatencies are the latencies of the current window in nanoseconds.
	windowLatencies []float64
	windowSamples   int
	windowDrops     int
	// windowPeak is the highest number of requests in flight in the window.
	windowPeak  int
	windowStart time.Time
	// rampEnded reports that congestion has been seen. Until then the limit grows
	// faster, so that a VM that has just started does not reject requests that
	// the pool can serve.
	rampEnded bool
	// windowOffered counts the requests offered in the window.
	windowOffered int
	// extraHoldNS is the mean time in nanoseconds that a slot is held beyond the
	// latency of its sample, as by an engine after the first token.
	extraHoldNS float64
	// sampleDelayNS is the mean delay of samples in nanoseconds.
	sampleDelayNS float64
	// lastHealthySample is the time of the last sample with a usual latency.
	lastHealthySample time.Time
	// initialLatencies are the latencies for the initial baseline.
	initialLatencies []float64
	// gated reports that a Gate marks the samples for the initial baseline.
	gated bool
	// initialMissing counts the marked samples without a latency.
	initialMissing int
	firstSampleAt  time.Time
}

// NewLimiter returns a limiter at its initial limit.
func NewLimiter(opts LimiterOptions) *Limiter {
	return &Limiter{opts: opts, limit: opts.Initial}
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// CountOffer counts an offered request, whether or not it is admitted.
func (l *Limiter) CountOffer() { l.windowOffered++ }

// Baseline returns the long-term minimum of the windows' median latency; 0 until
// it is known.
func (l *Limiter) Baseline() time.Duration { return time.Duration(l.baselineNS) }

// Observe records the sample of a request. The number of requests in flight
// includes that one.
func (l *Limiter) Observe(s Sample, inFlight int, now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart, l.firstSampleAt = now, now
	}
	l.windowPeak = max(l.windowPeak, inFlight)
	if s.forBaseline {
		l.observeInitial(s)
	}
	switch s.Outcome {
	case Ignored:
		return
	case Dropped:
		l.windowDrops++
	case OK:
		l.updateSampleStats(s, now)
		if len(l.windowLatencies) < maxWindowLatencies {
			l.windowLatencies = append(l.windowLatencies, float64(s.Latency))
		}
	}
	l.windowSamples++
	if l.windowSamples >= l.opts.WindowSamples && now.Sub(l.windowStart) >= l.opts.Window {
		l.closeWindow(now)
	}
}

// updateSampleStats updates the mean sample delay and, if the latency is close to
// the baseline, the time of the last healthy sample.
func (l *Limiter) updateSampleStats(s Sample, now time.Time) {
	l.sampleDelayNS += ewmaGain * (float64(s.delay) - l.sampleDelayNS)
	if float64(s.Latency) <= 2*l.opts.Tolerance*l.baselineNS {
		l.lastHealthySample = now
	}
}

// overdueAfter returns the age at which a request in flight without a sample
// indicates congestion. It returns 0 if there is no baseline or a recent sample
// was healthy: the requests in flight are then merely long ones.
func (l *Limiter) overdueAfter(now time.Time) time.Duration {
	after := time.Duration(overdueFactor * (l.opts.Tolerance*l.baselineNS + l.sampleDelayNS))
	if l.baselineNS == 0 || now.Sub(l.lastHealthySample) < after {
		return 0
	}
	return after
}

// ReduceForOverdue lowers the limit because most requests in flight are older
// than overdueAfter. Their samples would arrive too late to react to.
func (l *Limiter) ReduceForOverdue(now time.Time) {
	l.rampEnded = true
	l.setLimit(l.limit * (1 - limitGain*(1-minGradient)))
	l.windowOffered = 0
	l.windowStart = now
}

// closeWindow adjusts the limit by the samples of the window and starts the next
// one.
func (l *Limiter) closeWindow(now time.Time) {
	busy := float64(l.windowPeak) >= l.limit/2
	if l.initBaseline(now) && len(l.windowLatencies) > 0 {
		l.updateLimit(l.windowMedian(), busy, now)
	}
	if float64(l.windowDrops) > l.opts.DropTolerance*float64(l.windowSamples) {
		l.setLimit(l.limit * l.opts.Backoff)
	}
	l.windowLatencies = l.windowLatencies[:0]
	l.windowSamples, l.windowDrops, l.windowPeak, l.windowOffered = 0, 0, 0, 0
	l.windowStart = now
}

// observeInitial records a sample for the initial baseline.
func (l *Limiter) observeInitial(s Sample) {
	if s.Outcome == OK {
		l.initialLatencies = append(l.initialLatencies, float64(s.Latency))
	} else {
		l.initialMissing++
	}
}

// initBaseline sets the baseline once the initial samples are complete and
// reports whether there is one. Without a gate, or if no initial sample has a
// latency, it uses the latencies of the window.
func (l *Limiter) initBaseline(now time.Time) bool {
	if l.baselineNS > 0 {
		return true
	}
	complete := !l.gated || len(l.initialLatencies)+l.initialMissing >= initialSamples || now.Sub(l.firstSampleAt) >= initialSamplesTimeout
	if !complete {
		return false
	}
	if len(l.initialLatencies) == 0 {
		l.initialLatencies = l.windowLatencies
	}
	if len(l.initialLatencies) == 0 {
		return false
	}
	slices.Sort(l.initialLatencies)
	l.baselineNS = l.initialLatencies[len(l.initialLatencies)/2]
	l.smoothedMedianNS = l.baselineNS
	l.initialLatencies = nil
	return true
}

// updateLimit updates the baseline and the limit from a window's median latency.
// The limit grows only if busy, that is if at least half of it was in use.
func (l *Limiter) updateLimit(latency float64, busy bool, now time.Time) {
	l.smoothedMedianNS += medianGain * (latency - l.smoothedMedianNS)
	if l.smoothedMedianNS < l.baselineNS {
		l.baselineNS = l.smoothedMedianNS
	} else {
		timeConstant := l.opts.BaselineIdle
		if busy {
			timeConstant = l.opts.BaselineRise
		}
		elapsed := float64(now.Sub(l.windowStart)) / float64(timeConstant)
		l.baselineNS += (latency - l.baselineNS) * min(1, elapsed)
	}
	gradient := min(1, max(minGradient, l.opts.Tolerance*l.baselineNS/latency))
	if gradient < 1 || l.windowDrops > 0 {
		l.rampEnded = true
	}
	if !l.rampEnded {
		if busy {
			l.setLimit(l.limit * rampFactor)
		}
		return
	}
	step := 1 + l.opts.DemandFraction*l.demand(now)
	if gradient == 1 {
		step = max(step, math.Sqrt(l.limit))
	}
	target := l.limit*gradient + step
	if target > l.limit && (!busy || l.windowDrops > 0) {
		return
	}
	l.setLimit(l.limit + limitGain*(target-l.limit))
}

// observeHold records how long a request with the given latency held its slot.
func (l *Limiter) observeHold(hold, latency time.Duration) {
	l.extraHoldNS += ewmaGain * (float64(max(0, hold-latency)) - l.extraHoldNS)
}

// demand returns the mean number of slots that the offered requests would occupy
// at the baseline latency. With the current latency instead, congestion would
// raise the demand and so the limit that causes the congestion.
func (l *Limiter) demand(now time.Time) float64 {
	elapsed := float64(now.Sub(l.windowStart))
	if elapsed <= 0 {
		return 0
	}
	return float64(l.windowOffered) / elapsed * (l.baselineNS + l.extraHoldNS)
}

func (l *Limiter) setLimit(limit float64) {
	l.limit = min(l.opts.Max, max(l.opts.Min, limit))
}

func (l *Limiter) windowMedian() float64 {
	slices.Sort(l.windowLatencies)
	return l.windowLatencies[len(l.windowLatencies)/2]
}
