package routing

import (
	"slices"
	"time"
)

const (
	// slowFactor is how far above the pool's median an upstream's latency makes
	// a report of little load incredible.
	slowFactor = 1.5
	// medianPeriod bounds how often a pool's median is computed anew.
	medianPeriod = 100 * time.Millisecond
	// reportServices is the number of median service times that a load report is
	// good for.
	reportServices = 2
	// meanGain is the weight of a new report in the pool's means.
	meanGain = 0.05
)

// poolStat is what the VM knows about a pool as a whole.
type poolStat struct {
	opts  *Options
	stats []*stat
	// size is the number of upstreams in the view, and version that view's.
	size       int
	version    uint64
	medianMS   float64
	medianAt   time.Time
	meanOthers float64
	meanTotal  float64
	scratch    []float64
}

func newPoolStat(opts *Options) *poolStat {
	return &poolStat{opts: opts, medianMS: opts.InitialLatencyMS}
}

func (p *poolStat) observeOthers(others float64) {
	p.meanOthers += meanGain * (others - p.meanOthers)
}

func (p *poolStat) observeTotal(total float64) {
	p.meanTotal += meanGain * (total - p.meanTotal)
}

// reportLife gives the time in nanoseconds in which a report loses its weight by
// 1/e. After a few service times the requests that it counted have ended, and
// VMs that still believed it would all choose the same upstreams.
func (p *poolStat) reportLife() float64 {
	services := reportServices * p.medianMS * float64(time.Millisecond)
	return min(float64(p.opts.ReportLife), services)
}

// refresh computes the median latency over the upstreams with samples.
func (p *poolStat) refresh(now time.Time) {
	if !p.medianAt.IsZero() && now.Sub(p.medianAt) < medianPeriod {
		return
	}
	p.medianAt = now
	p.scratch = p.scratch[:0]
	for _, s := range p.stats {
		if s.samples > 0 {
			p.scratch = append(p.scratch, s.latencyMS)
		}
	}
	if len(p.scratch) == 0 {
		return
	}
	slices.Sort(p.scratch)
	p.medianMS = p.scratch[(len(p.scratch)-1)/2]
}

// prune forgets upstreams that have left the view. One with requests under way
// is kept until they end.
func (p *poolStat) prune(source Source, name string, forget func(*stat)) {
	p.size = len(source.Pool(name))
	if p.version == source.Version() {
		return
	}
	p.version = source.Version()
	p.stats = slices.DeleteFunc(p.stats, func(s *stat) bool {
		if _, ok := source.Find(name, s.address); ok || len(s.inFlight) > 0 {
			return false
		}
		forget(s)
		return true
	})
}

// ejected counts the ejected upstreams.
func (p *poolStat) ejected() int {
	n := 0
	for _, s := range p.stats {
		if s.ejection.shut {
			n++
		}
	}
	return n
}
