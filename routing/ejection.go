package routing

import "time"

// slowStartAfterEjection is the time in which a re-admitted upstream returns
// to its full share.
const slowStartAfterEjection = 5 * time.Second

// ejection is the outlier state of one upstream.
type ejection struct {
	gate
	failures   int
	failedAt   time.Time
	readmitted time.Time
	// backoff keeps the last hold, so that an upstream that is ejected again
	// soon after its return waits longer.
	backoff time.Duration
}

// trust gives the share of its usual work that a re-admitted upstream gets.
func (e *ejection) trust(now time.Time) float64 {
	if e.readmitted.IsZero() {
		return 1
	}
	grown := float64(now.Sub(e.readmitted)) / float64(slowStartAfterEjection)
	return min(1, max(trustFloor, grown))
}

// judgeOutcome ejects or re-admits an upstream after an attempt.
func (r *Router) judgeOutcome(s *stat, o Outcome, now time.Time) {
	e := &s.ejection
	switch o.Result {
	case Success:
		e.failures = 0
	case Failure, ConnectFailure:
		e.failures++
		e.failedAt = now
	case Overloaded, Cancelled:
		e.probing = false
		return
	}
	slow := r.slow(s, o)
	if e.shut {
		r.judgeProbe(s, o.Result == Success && !slow, now)
		return
	}
	if e.failures >= r.opts.Ejection.Failures || slow {
		r.eject(s, now)
	}
}

// slow says whether the upstream's latency is an outlier. A probe is judged by
// its own latency, since the mean still holds the samples from before.
func (r *Router) slow(s *stat, o Outcome) bool {
	limit := r.opts.Ejection.Latency * s.region.medianMS
	if s.ejection.shut {
		return o.Result == Success && float64(o.Latency)/float64(time.Millisecond) > limit
	}
	return s.samples >= r.opts.Ejection.Samples && s.latencyMS > limit
}

func (r *Router) judgeProbe(s *stat, healthy bool, now time.Time) {
	e := &s.ejection
	if now.Before(e.until) {
		// An attempt from before the ejection.
		return
	}
	if !healthy {
		e.close(r.opts.Ejection.Base, r.opts.Ejection.Max, now)
		e.backoff = e.hold
		return
	}
	e.open()
	e.failures = 0
	e.readmitted = now
	// The samples from before the ejection say nothing about the present.
	s.samples = 0
}

// eject takes the upstream out unless that would take out more of its pool
// than allowed.
func (r *Router) eject(s *stat, now time.Time) {
	if !r.mayEject(s.pool) {
		r.counts.EjectionsRefused++
		return
	}
	e := &s.ejection
	base := r.opts.Ejection.Base
	if now.Sub(e.readmitted) < r.opts.Ejection.Max && e.backoff > 0 {
		base = min(2*e.backoff, r.opts.Ejection.Max)
	}
	e.close(base, r.opts.Ejection.Max, now)
	e.backoff = e.hold
	r.counts.Ejections++
}

// mayEject keeps at least half of the pool.
func (r *Router) mayEject(p *poolStat) bool {
	return 100*(p.ejected()+1) <= r.opts.Ejection.MaxPercent*p.size
}
