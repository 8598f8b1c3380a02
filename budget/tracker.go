package budget

import "time"

// Tracker keeps the latency distributions of all stages.
type Tracker struct {
	opts  Options
	stats map[Key]*Histogram
}

// NewTracker gives a tracker without samples.
func NewTracker(opts Options) *Tracker {
	return &Tracker{opts: opts, stats: map[Key]*Histogram{}}
}

// Observe adds the latency of one stage at its upstreams, from the start of its
// first attempt. The wait before the admission gate is not part of it. For a
// stage cancelled at CancelAfter give the time until then, a lower bound without
// which a straggler would not show; leave out stages that failed.
func (t *Tracker) Observe(k Key, d time.Duration, now time.Time) {
	h := t.stats[k]
	if h == nil {
		if len(t.stats) >= t.opts.Keys {
			t.evict()
		}
		h = &Histogram{}
		t.stats[k] = h
	}
	h.Observe(d, t.opts.HalfLife, now)
}

// evict forgets the distribution that was updated longest ago.
func (t *Tracker) evict() {
	var oldest Key
	var at time.Time
	for k, h := range t.stats {
		if at.IsZero() || h.decayed.Before(at) || h.decayed.Equal(at) && less(k, oldest) {
			oldest, at = k, h.decayed
		}
	}
	delete(t.stats, oldest)
}

func less(a, b Key) bool {
	if a.Stage == b.Stage {
		return a.Class < b.Class
	}
	return a.Stage < b.Stage
}

// Quantile gives a percentile of a stage's latency, false if too little is
// known.
func (t *Tracker) Quantile(k Key, q float64) (time.Duration, bool) {
	h := t.known(k)
	if h == nil {
		return 0, false
	}
	return h.Quantile(q), true
}

// known gives the distribution if it has enough samples.
func (t *Tracker) known(k Key) *Histogram {
	h := t.stats[k]
	if h == nil || h.total < t.opts.MinSamples {
		return nil
	}
	return h
}

// Plan divides the remaining time over the stages that are left.
func (t *Tracker) Plan(stages []Key, remaining time.Duration, now time.Time) Plan {
	p := Plan{Grants: make([]Grant, len(stages))}
	var histograms [planStages]*Histogram
	known := histograms[:0]
	for _, k := range stages {
		h := t.known(k)
		known = append(known, h)
		if h != nil {
			h.decay(t.opts.HalfLife, now)
			p.Need += h.Quantile(t.opts.NeedPercentile)
		}
	}
	p.Chance = chance(known, remaining)
	p.Feasible = remaining > 0 && p.Chance >= t.opts.MinChance
	t.grant(p.Grants, known, remaining)
	return p
}

// planStages is the number of stages for which a plan needs no allocation of
// its own scratch space; pipelines have 3 to 6.
const planStages = 8

// grant divides the remaining time in proportion to the stages' slow attempts.
// A stage without a distribution counts as the mean of the others.
func (t *Tracker) grant(grants []Grant, known []*Histogram, remaining time.Duration) {
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
	var rest time.Duration
	for i := len(known) - 1; i >= 0; i-- {
		slow := mean
		if known[i] != nil {
			slow = known[i].Quantile(t.opts.HedgePercentile)
		}
		g := &grants[i]
		g.Time = max(0, time.Duration(float64(remaining)*float64(slow)/float64(max(1, total))))
		g.CancelAfter = max(0, remaining-rest)
		if known[i] != nil {
			g.HedgeAfter = hedgeAfter(slow, known[i].Quantile(t.opts.NeedPercentile), g.CancelAfter)
			rest += known[i].Quantile(t.opts.RestPercentile)
		}
	}
}

// hedgeAfter gives the percentile's latency if a second attempt begun then is
// likely to end before the stage is cancelled, else 0.
func hedgeAfter(slow, usual, cancel time.Duration) time.Duration {
	if slow+usual > cancel {
		return 0
	}
	return slow
}
