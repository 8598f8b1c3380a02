package routing

import (
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/membership"
)

const (
	// slowLatencyFactor is the ratio of an upstream's latency to the median of its
	// region above which a report of less than average load is not credible.
	slowLatencyFactor = 1.5
	// medianInterval is the minimum time between two updates of a pool's medians.
	medianInterval = 100 * time.Millisecond
	// maxReportDecayMedians is the maximum decay time of load reports, in median
	// latencies of the pool.
	maxReportDecayMedians = 2
	// poolLoadGain is the weight of a new report in the pool's moving averages.
	poolLoadGain = 0.05
)

// poolStats holds the VM's statistics of one pool.
type poolStats struct {
	opts      *Options
	upstreams []*upstreamStats
	// size is the number of upstreams in the view with version viewVersion.
	size            int
	viewVersion     uint64
	medianMS        float64
	medianUpdatedAt time.Time
	// meanOtherLoad is the mean load of an upstream, in requests, that is due to
	// other VMs.
	meanOtherLoad    float64
	meanReportedLoad float64
	// scratch is reused to compute medians.
	scratch []float64
	// statsByIndex caches the statistics of indexedUpstreams by their index, nil
	// where not yet looked up. It avoids a lookup by address for each candidate.
	statsByIndex     []*upstreamStats
	indexedUpstreams []*membership.Upstream
	regions          map[ids.Region]*regionStats
}

// regionStats holds the median latency of a pool's upstreams in one region.
// Upstreams are compared within their region: in a pool of short calls the round
// trip to another region would make every upstream there an outlier.
type regionStats struct {
	medianMS float64
	// known reports that medianMS is computed from samples of the region.
	known bool
}

func newPoolStats(opts *Options) *poolStats {
	return &poolStats{opts: opts, medianMS: opts.InitialLatencyMS, regions: map[ids.Region]*regionStats{}}
}

func (p *poolStats) regionStatsOf(name ids.Region) *regionStats {
	r := p.regions[name]
	if r == nil {
		r = &regionStats{medianMS: p.medianMS}
		p.regions[name] = r
	}
	return r
}

func (p *poolStats) observeOtherLoad(requests float64) {
	p.meanOtherLoad += poolLoadGain * (requests - p.meanOtherLoad)
}

func (p *poolStats) observeReportedLoad(requests float64) {
	p.meanReportedLoad += poolLoadGain * (requests - p.meanReportedLoad)
}

// reportDecayNS returns the time in nanoseconds after which the weight of a load
// report has fallen to 1/e. After a few service times the requests that the
// report counted have ended, and VMs that still used it would all choose the
// same upstreams.
func (p *poolStats) reportDecayNS() float64 {
	bound := maxReportDecayMedians * p.medianMS * float64(time.Millisecond)
	return min(float64(p.opts.ReportDecay), bound)
}

// updateMedians recomputes the median latencies of the pool and its regions at
// most once per medianInterval. A region that never had samples uses the median
// of the pool.
func (p *poolStats) updateMedians(now time.Time) {
	if !p.medianUpdatedAt.IsZero() && now.Sub(p.medianUpdatedAt) < medianInterval {
		return
	}
	p.medianUpdatedAt = now
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

// median returns the median latency of the upstreams with samples in a region, or
// in all regions if r is nil. The second result is false if there are none.
func (p *poolStats) median(r *regionStats) (float64, bool) {
	p.scratch = p.scratch[:0]
	for _, s := range p.upstreams {
		if s.latencySamples > 0 && (r == nil || s.region == r) {
			p.scratch = append(p.scratch, s.meanLatencyMS)
		}
	}
	if len(p.scratch) == 0 {
		return 0, false
	}
	slices.Sort(p.scratch)
	return p.scratch[(len(p.scratch)-1)/2], true
}

// prune removes the upstreams that have left the view and calls remove for each.
// Upstreams with attempts in flight are kept until these end.
func (p *poolStats) prune(source Source, name string, remove func(*upstreamStats)) {
	p.size = len(source.Pool(name))
	if p.viewVersion == source.Version() {
		return
	}
	p.viewVersion = source.Version()
	p.upstreams = slices.DeleteFunc(p.upstreams, func(s *upstreamStats) bool {
		if _, ok := source.Find(name, s.address); ok || len(s.inFlight) > 0 {
			return false
		}
		remove(s)
		return true
	})
	p.indexedUpstreams, p.statsByIndex = nil, nil
}

// resetIndex clears statsByIndex if the source returns another slice. Views are
// immutable and share the slices of unchanged pools, so the same slice has the
// same content.
func (p *poolStats) resetIndex(upstreams []*membership.Upstream) {
	if sameSlice(p.indexedUpstreams, upstreams) {
		return
	}
	p.indexedUpstreams = upstreams
	p.statsByIndex = make([]*upstreamStats, len(upstreams))
}

func sameSlice(a, b []*membership.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// ejectedCount returns the number of ejected upstreams.
func (p *poolStats) ejectedCount() int {
	n := 0
	for _, s := range p.upstreams {
		if s.ejection.tripped {
			n++
		}
	}
	return n
}
