package routing

import (
	"math/rand/v2"
	"time"

	"damaskbridge.example/damaskbridge/membership"
)

// probeOnly is reported in place of a filter name for a candidate that is dropped
// because it accepts only probes and the request must not be one.
const probeOnly = "probe only"

// Ticket identifies one routed attempt.
type Ticket uint64

// Choice is the upstream chosen for an attempt.
type Choice struct {
	Upstream *membership.Upstream
	Ticket   Ticket
	// Probe reports that the attempt is a probe: its outcome decides whether an
	// ejected upstream is re-admitted or an open circuit closes. Requests with
	// NoProbe are never probes.
	Probe bool
	// Reused reports that an earlier attempt used the upstream and no other one
	// was available.
	Reused bool
	CostMS float64
}

// Counts holds the router's counters.
type Counts struct {
	Choices, NoCandidate, Probes, Reused uint64
	Ejections, EjectionsRefused          uint64
}

// Router chooses upstreams. It is not safe for concurrent use.
type Router struct {
	opts    Options
	rng     *rand.Rand
	filters []Filter
	scorers []Scorer
	picker  Picker
	// upstreams holds the statistics by address.
	upstreams map[string]*upstreamStats
	pools     map[string]*poolStats
	// attempts holds the upstreams of the attempts in flight.
	attempts   map[Ticket]*upstreamStats
	lastTicket Ticket
	counts     Counts
	// request and candidates are reused between calls of Choose to avoid
	// allocations.
	request    Request
	candidates []Candidate
}

// NewRouter returns a router with the default filters, scorers and picker. Options
// must pass Options.Check.
func NewRouter(opts Options, rng *rand.Rand) *Router {
	r := &Router{
		opts:      opts,
		rng:       rng,
		upstreams: map[string]*upstreamStats{},
		pools:     map[string]*poolStats{},
		attempts:  map[Ticket]*upstreamStats{},
	}
	r.filters = []Filter{
		stateFilter{},
		regionFilter{region: opts.Region, allowed: opts.CrossRegion},
		residencyFilter{},
		excludedFilter{},
		modelFilter{},
		circuitFilter{},
		ejectedFilter{},
	}
	r.scorers = []Scorer{
		loadScorer{slots: opts.Slots},
		latencyScorer{},
		failureScorer{},
		prefixScorer{savedMSPerBlock: opts.PrefixSavedMSPerBlock},
		regionScorer{region: opts.Region, penaltyMS: opts.RegionPenaltyMS, transferMSPerMB: opts.TransferMSPerMB},
		slowStartScorer{slots: opts.Slots},
	}
	r.picker = &twoChoicesPicker{relativeMargin: opts.NearEqual, absoluteMarginMS: opts.NearEqualMS}
	return r
}

// Choose chooses an upstream for the request. The attempt counts as in flight
// until Done is called with its ticket. The error is a *NoCandidateError.
func (r *Router) Choose(source Source, request Request, now time.Time) (Choice, error) {
	r.counts.Choices++
	r.request = request
	req := &r.request
	upstreams := source.Pool(req.Pool)
	pool := r.syncPool(source, req.Pool, now)
	r.collectCandidates(pool, upstreams, req, now)
	reused := false
	if len(r.candidates) == 0 && len(req.Excluded) > 0 {
		// Using an upstream again is better than failing the request.
		req.Excluded = nil
		reused = true
		r.collectCandidates(pool, upstreams, req, now)
	}
	if len(r.candidates) == 0 {
		r.counts.NoCandidate++
		return Choice{}, r.noCandidateError(upstreams, req, now)
	}
	c := r.pick(req, now)
	choice := r.startAttempt(c, req, now)
	choice.Reused = reused
	if reused {
		r.counts.Reused++
	}
	return choice, nil
}

// collectCandidates collects the upstreams that pass the filters. From a pool with
// more than MaxScored upstreams it takes random ones until MaxScored have passed.
func (r *Router) collectCandidates(pool *poolStats, upstreams []*membership.Upstream, req *Request, now time.Time) {
	r.candidates = r.candidates[:0]
	n := len(upstreams)
	if n <= r.opts.MaxScored {
		for i := range upstreams {
			r.addIfEligible(pool, upstreams, i, req, now)
		}
		return
	}
	// A random start with a stride that is coprime to n visits each upstream at
	// most once, without a permutation of the whole pool.
	start, stride := r.rng.IntN(n), randomCoprime(n, r.rng)
	for i, at := 0, start; i < n && len(r.candidates) < r.opts.MaxScored; i++ {
		r.addIfEligible(pool, upstreams, at, req, now)
		at += stride
		if at >= n {
			at -= n
		}
	}
}

// addIfEligible adds the upstream at index i to the candidates if it passes the
// filters.
func (r *Router) addIfEligible(pool *poolStats, upstreams []*membership.Upstream, i int, req *Request, now time.Time) {
	s := pool.statsByIndex[i]
	if s == nil {
		s = r.statsOf(upstreams[i])
		pool.statsByIndex[i] = s
	}
	r.candidates = append(r.candidates, Candidate{Upstream: upstreams[i], stats: s})
	last := len(r.candidates) - 1
	if r.droppedBy(req, &r.candidates[last], now) != "" {
		r.candidates = r.candidates[:last]
	}
}

// droppedBy returns the name of the filter that drops the candidate, or "" if none
// does.
func (r *Router) droppedBy(req *Request, c *Candidate, now time.Time) string {
	for _, f := range r.filters {
		if !f.Keep(req, c, now) {
			return f.Name()
		}
	}
	if c.Probe && req.NoProbe {
		return probeOnly
	}
	return ""
}

// pick scores the candidates and returns the picked one. It returns a candidate
// for a probe first, since only a probe shows whether the upstream has recovered.
func (r *Router) pick(req *Request, now time.Time) *Candidate {
	for i := range r.candidates {
		if r.candidates[i].Probe {
			return &r.candidates[i]
		}
	}
	for i := range r.candidates {
		c := &r.candidates[i]
		for _, s := range r.scorers {
			c.CostMS += s.CostMS(req, c, now)
		}
	}
	return &r.candidates[r.picker.Pick(r.candidates, r.rng)]
}

// startAttempt records an attempt on the candidate's upstream and returns the
// choice.
func (r *Router) startAttempt(c *Candidate, req *Request, now time.Time) Choice {
	r.lastTicket++
	s := c.stats
	s.startAttempt(uint64(r.lastTicket), now)
	r.attempts[r.lastTicket] = s
	if c.Probe {
		r.counts.Probes++
		s.ejection.startProbe(r.opts.Ejection.ProbeTimeout, now)
		s.circuit.startProbe(r.opts.Ejection.ProbeTimeout, now)
	}
	if len(req.Prefix) > 0 {
		r.prefixIndexOf(s).predict(req.Prefix, now)
	}
	return Choice{Upstream: c.Upstream, Ticket: r.lastTicket, Probe: c.Probe, CostMS: c.CostMS}
}

// Done records the outcome of an attempt. It has no effect if the ticket is not in
// flight.
func (r *Router) Done(ticket Ticket, o Outcome, now time.Time) {
	s, ok := r.attempts[ticket]
	if !ok {
		return
	}
	delete(r.attempts, ticket)
	s.endAttempt(uint64(ticket), now)
	r.observeLatency(s, o, now)
	if o.Result == ConnectFailure {
		s.circuit.recordFailure(r.opts.Circuit, now)
	} else if o.Result != Cancelled {
		s.circuit.recordSuccess()
	}
	r.updateEjection(s, o, now)
}

// observeLatency records the latency of an outcome. The time until a failure or a
// cancellation is only a lower bound of the latency, so it counts only if it
// exceeds the expected latency.
func (r *Router) observeLatency(s *upstreamStats, o Outcome, now time.Time) {
	ms := float64(o.Latency) / float64(time.Millisecond)
	switch o.Result {
	case Success:
		s.observeLatency(o.Latency, now)
	case Failure, Cancelled:
		if ms > s.expectedLatencyMS(now) {
			s.observeLatency(o.Latency, now)
		}
	}
}

// ObserveLoad records a load report from the Damask-Load header or GET /load. It
// has no effect for an address that the router has not considered yet.
func (r *Router) ObserveLoad(address string, l Load, now time.Time) {
	if s := r.upstreams[address]; s != nil {
		s.observeLoad(l, now)
	}
}

// ObserveModels records the models and adapters that an upstream has loaded. It
// has no effect for an address that the router has not considered yet.
func (r *Router) ObserveModels(address string, models, adapters []string) {
	if s := r.upstreams[address]; s != nil {
		s.models = toSet(models)
		s.adapters = toSet(adapters)
	}
}

// ObserveCache records cache events of an upstream. It has no effect for an
// address that the router has not considered yet.
func (r *Router) ObserveCache(address string, events []CacheEvent) {
	if s := r.upstreams[address]; s != nil {
		r.prefixIndexOf(s).apply(events)
	}
}

// Counts returns the counters.
func (r *Router) Counts() Counts { return r.counts }

// prefixIndexOf returns the upstream's prefix index and creates it if needed.
func (r *Router) prefixIndexOf(s *upstreamStats) *prefixIndex {
	if s.prefixIndex == nil {
		s.prefixIndex = newPrefixIndex(r.opts.PrefixBlocks, r.opts.PrefixDecay)
	}
	return s.prefixIndex
}

// syncPool updates the statistics of a pool to the source's current view and
// returns them.
func (r *Router) syncPool(source Source, name string, now time.Time) *poolStats {
	p := r.poolStatsOf(name)
	p.prune(source, name, r.removeUpstream)
	p.resetIndex(source.Pool(name))
	p.updateMedians(now)
	return p
}

func (r *Router) removeUpstream(s *upstreamStats) { delete(r.upstreams, s.address) }

// noCandidateError returns a *NoCandidateError with the filters that dropped the
// upstreams and the time until the next probe.
func (r *Router) noCandidateError(upstreams []*membership.Upstream, req *Request, now time.Time) error {
	e := &NoCandidateError{Pool: req.Pool, PoolSize: len(upstreams), Dropped: map[string]int{}}
	for _, u := range upstreams {
		c := Candidate{Upstream: u, stats: r.statsOf(u)}
		e.Dropped[r.droppedBy(req, &c, now)]++
		for _, b := range []*breaker{&c.stats.ejection.breaker, &c.stats.circuit.breaker} {
			wait := b.trippedUntil.Sub(now)
			if b.tripped && wait > 0 && (e.RetryAfter == 0 || wait < e.RetryAfter) {
				e.RetryAfter = wait
			}
		}
	}
	return e
}

// poolStatsOf returns the statistics of a pool and creates them if needed.
func (r *Router) poolStatsOf(name string) *poolStats {
	p := r.pools[name]
	if p == nil {
		p = newPoolStats(&r.opts)
		r.pools[name] = p
	}
	return p
}

// statsOf returns the statistics of an upstream and creates them if needed.
func (r *Router) statsOf(u *membership.Upstream) *upstreamStats {
	s := r.upstreams[u.Address]
	if s == nil {
		p := r.poolStatsOf(u.Pool)
		s = &upstreamStats{address: u.Address, pool: p, region: p.regionStatsOf(u.Region), credibility: 1}
		r.upstreams[u.Address] = s
		s.pool.upstreams = append(s.pool.upstreams, s)
	}
	return s
}

func toSet(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}
