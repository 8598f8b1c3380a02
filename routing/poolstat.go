package routing

import (
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/membership"
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
	// aligned holds the stats of the upstreams of alignedTo by their index there,
	// nil where none was needed yet. It saves a look-up by address for each
	// candidate.
	aligned   []*stat
	alignedTo []*membership.Upstream
	regions   map[ids.Region]*regionStat
}

// regionStat is the median latency of a pool's upstreams in one region. An
// upstream is compared with its peers there: in a pool of short calls the round
// trip to another region would make every upstream of that region an outlier.
type regionStat struct {
	medianMS float64
	known    bool
}

func newPoolStat(opts *Options) *poolStat {
	return &poolStat{opts: opts, medianMS: opts.InitialLatencyMS, regions: map[ids.Region]*regionStat{}}
}

func (p *poolStat) region(name ids.Region) *regionStat {
	r := p.regions[name]
	if r == nil {
		r = &regionStat{medianMS: p.medianMS}
		p.regions[name] = r
	}
	return r
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

// refresh computes the median latencies over the upstreams with samples. A
// region without samples takes the pool's median.
func (p *poolStat) refresh(now time.Time) {
	if !p.medianAt.IsZero() && now.Sub(p.medianAt) < medianPeriod {
		return
	}
	p.medianAt = now
	if m, ok := p.median(nil); ok {
		p.medianMS = m
	}
	for _, r := range p.regions {
		m, ok := p.median(r)
		if !ok && !r.known {
			m = p.medianMS
		} else if !ok {
			continue
		}
		r.medianMS, r.known = m, ok
	}
}

// median gives the median latency in a region, or in all for nil.
func (p *poolStat) median(r *regionStat) (float64, bool) {
	p.scratch = p.scratch[:0]
	for _, s := range p.stats {
		if s.samples > 0 && (r == nil || s.region == r) {
			p.scratch = append(p.scratch, s.latencyMS)
		}
	}
	if len(p.scratch) == 0 {
		return 0, false
	}
	slices.Sort(p.scratch)
	return p.scratch[(len(p.scratch)-1)/2], true
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
	p.alignedTo, p.aligned = nil, nil
}

// align makes aligned follow the source's slice. Views are immutable and share
// the slices of pools that have not changed, so the same slice has the same
// content.
func (p *poolStat) align(upstreams []*membership.Upstream) {
	if sameSlice(p.alignedTo, upstreams) {
		return
	}
	p.alignedTo = upstreams
	p.aligned = make([]*stat, len(upstreams))
}

func sameSlice(a, b []*membership.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
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
