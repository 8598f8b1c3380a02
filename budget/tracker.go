package budget

import "time"

// Tracker maintains the latency distributions of all stages.
type Tracker struct {
	opts       Options
	histograms map[Key]*Histogram
}

// NewTracker returns a Tracker without samples.
func NewTracker(opts Options) *Tracker {
	return &Tracker{opts: opts, histograms: map[Key]*Histogram{}}
}

// Observe adds the latency of one stage at its upstreams, measured from the
// start of its first attempt and without the wait before the admission gate.
// For a stage cancelled at CancelAfter, pass the time until then: it is a lower
// bound, without which a straggler would remain invisible. Do not report stages
// that failed.
func (t *Tracker) Observe(k Key, d time.Duration, now time.Time) {
	h := t.histograms[k]
	if h == nil {
		if len(t.histograms) >= t.opts.MaxKeys {
			t.evict()
		}
		h = &Histogram{}
		t.histograms[k] = h
	}
	h.Observe(d, t.opts.HalfLife, now)
}

// evict deletes the least recently updated distribution.
func (t *Tracker) evict() {
	var oldest Key
	var at time.Time
	for k, h := range t.histograms {
		if at.IsZero() || h.decayedAt.Before(at) || h.decayedAt.Equal(at) && keyLess(k, oldest) {
			oldest, at = k, h.decayedAt
		}
	}
	delete(t.histograms, oldest)
}

func keyLess(a, b Key) bool {
	if a.Stage == b.Stage {
		return a.Class < b.Class
	}
	return a.Stage < b.Stage
}

// Quantile returns a quantile of a stage's latency, or false if there are too
// few samples.
func (t *Tracker) Quantile(k Key, q float64) (time.Duration, bool) {
	h := t.distribution(k)
	if h == nil {
		return 0, false
	}
	return h.Quantile(q), true
}

// distribution returns the histogram of a stage, or nil if it has too few
// samples.
func (t *Tracker) distribution(k Key) *Histogram {
	h := t.histograms[k]
	if h == nil || h.total < t.opts.MinSamples {
		return nil
	}
	return h
}

// Plan divides the remaining time among the remaining stages.
func (t *Tracker) Plan(stages []Key, remaining time.Duration, now time.Time) Plan {
	p := Plan{Grants: make([]Grant, len(stages))}
	var histograms [maxStackHistograms]*Histogram
	known := histograms[:0]
	for _, k := range stages {
		h := t.distribution(k)
		known = append(known, h)
		if h != nil {
			h.decay(t.opts.HalfLife, now)
			p.Need += h.Quantile(t.opts.NeedPercentile)
		}
	}
	p.Probability = completionProbability(known, remaining)
	p.Feasible = remaining > 0 && p.Probability >= t.opts.MinProbability
	t.fillGrants(p.Grants, known, remaining)
	return p
}

// maxStackHistograms is the number of stages up to which a plan needs no heap
// allocation for its histograms. Pipelines have 3 to 6 stages.
const maxStackHistograms = 8

// fillGrants divides the remaining time in proportion to the latency of the
// stages' slow attempts. A stage without a distribution counts as the mean of
// the others.
func (t *Tracker) fillGrants(grants []Grant, known []*Histogram, remaining time.Duration) {
	var total, mean time.Duration
	count := 0
	for _, h := range known {
		if h != nil {
			total += h.Quantile(t.opts.HedgePercentile)
			count++
		}
	}
	mean = 1
	if count > 0 {
		mean = max(1, total/time.Duration(count))
	}
	total += mean * time.Duration(len(known)-count)
	var reserved time.Duration
	for i := len(known) - 1; i >= 0; i-- {
		slow := mean
		if known[i] != nil {
			slow = known[i].Quantile(t.opts.HedgePercentile)
		}
		g := &grants[i]
		g.Time = max(0, time.Duration(float64(remaining)*float64(slow)/float64(max(1, total))))
		g.CancelAfter = max(0, remaining-reserved)
		if known[i] != nil {
			g.HedgeAfter = hedgeAfter(slow, known[i].Quantile(t.opts.NeedPercentile), g.CancelAfter)
			reserved += known[i].Quantile(t.opts.ReservePercentile)
		}
	}
}

// hedgeAfter returns the hedge percentile's latency if an attempt started then
// is likely to finish before the stage is cancelled, and 0 otherwise.
func hedgeAfter(slow, typical, cancel time.Duration) time.Duration {
	if slow+typical > cancel {
		return 0
	}
	return slow
}
