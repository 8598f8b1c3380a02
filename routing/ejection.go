package routing

import "time"

// slowStartAfterEjection is the time over which a re-admitted upstream returns
// to its full share of requests.
const slowStartAfterEjection = 5 * time.Second

// ejection is the outlier ejection of one upstream.
type ejection struct {
	breaker
	// failures counts consecutive failures.
	failures     int
	lastFailure  time.Time
	readmittedAt time.Time
	// lastBackoff is the backoff of the last ejection. An upstream that is
	// ejected again soon after its re-admission gets a longer one.
	lastBackoff time.Duration
}

// slowStartWeight returns the fraction of its full share of requests that the
// upstream should get. It grows to 1 after a re-admission.
func (e *ejection) slowStartWeight(now time.Time) float64 {
	if e.readmittedAt.IsZero() {
		return 1
	}
	elapsed := float64(now.Sub(e.readmittedAt)) / float64(slowStartAfterEjection)
	return min(1, max(minSlowStartWeight, elapsed))
}

// updateEjection ejects or re-admits an upstream by the outcome of an attempt.
func (r *Router) updateEjection(s *upstreamStats, o Outcome, now time.Time) {
	e := &s.ejection
	switch o.Result {
	case Success:
		e.failures = 0
	case Failure, ConnectFailure:
		e.failures++
		e.lastFailure = now
	case Overloaded, Cancelled:
		e.probing = false
		return
	}
	slow := r.isLatencyOutlier(s, o)
	if e.tripped {
		r.finishProbe(s, o.Result == Success && !slow, now)
		return
	}
	if e.failures >= r.opts.Ejection.Failures || slow {
		r.eject(s, now)
	}
}

// isLatencyOutlier reports whether the upstream's latency is an outlier in its
// region. The latency of a probe is compared by itself, because the mean still
// includes the samples from before the ejection.
func (r *Router) isLatencyOutlier(s *upstreamStats, o Outcome) bool {
	limit := r.opts.Ejection.LatencyFactor * s.region.medianMS
	if s.ejection.tripped {
		return o.Result == Success && float64(o.Latency)/float64(time.Millisecond) > limit
	}
	return s.latencySamples >= r.opts.Ejection.Samples && s.meanLatencyMS > limit
}

// finishProbe re-admits an ejected upstream after a healthy probe and extends the
// ejection otherwise.
func (r *Router) finishProbe(s *upstreamStats, healthy bool, now time.Time) {
	e := &s.ejection
	if now.Before(e.trippedUntil) {
		// The attempt was sent before the ejection and is not a probe.
		return
	}
	if !healthy {
		e.trip(r.opts.Ejection.Base, r.opts.Ejection.Max, now)
		e.lastBackoff = e.backoff
		return
	}
	e.reset()
	e.failures = 0
	e.readmittedAt = now
	// The samples from before the ejection no longer apply.
	s.latencySamples = 0
}

// eject ejects the upstream unless that would exceed Ejection.MaxPercent.
func (r *Router) eject(s *upstreamStats, now time.Time) {
	if !r.mayEject(s.pool) {
		r.counts.EjectionsRefused++
		return
	}
	e := &s.ejection
	base := r.opts.Ejection.Base
	if now.Sub(e.readmittedAt) < r.opts.Ejection.Max && e.lastBackoff > 0 {
		base = min(2*e.lastBackoff, r.opts.Ejection.Max)
	}
	e.trip(base, r.opts.Ejection.Max, now)
	e.lastBackoff = e.backoff
	r.counts.Ejections++
}

// mayEject reports whether one more upstream of the pool may be ejected without
// exceeding Ejection.MaxPercent.
func (r *Router) mayEject(p *poolStats) bool {
	return 100*(p.ejectedCount()+1) <= r.opts.Ejection.MaxPercent*p.size
}
