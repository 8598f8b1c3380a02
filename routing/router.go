package routing

import (
	"math/rand/v2"
	"time"

	"damaskbridge.example/damaskbridge/membership"
)

// probeOnly is the reason for which a candidate that may only be probed is
// dropped from the choice for a request that may not be a probe.
const probeOnly = "probe only"

// Ticket names one attempt that was routed.
type Ticket uint64

// Choice is the result of Choose.
type Choice struct {
	Upstream *membership.Upstream
	Ticket   Ticket
	// Probe says that the attempt decides whether an ejected upstream returns.
	// A non-idempotent request is never used as a probe; see Router.Choose.
	Probe bool
	// Reused says that an earlier attempt has used the upstream and no other
	// one was left.
	Reused bool
	CostMS float64
}

// Counts are the router's counters.
type Counts struct {
	Choices, NoCandidate, Probes, Reused uint64
	Ejections, EjectionsRefused          uint64
}

// Router chooses upstreams.
type Router struct {
	opts    Options
	rng     *rand.Rand
	filters []Filter
	scorers []Scorer
	picker  Picker
	stats   map[string]*stat
	pools   map[string]*poolStat
	flights map[Ticket]*stat
	next    Ticket
	counts  Counts
	// request and candidates are reused between choices, which then need no
	// allocation.
	request    Request
	candidates []Candidate
}

// NewRouter gives a router with the usual chain. Options are as checked by
// Options.Check.
func NewRouter(opts Options, rng *rand.Rand) *Router {
	r := &Router{
		opts:    opts,
		rng:     rng,
		stats:   map[string]*stat{},
		pools:   map[string]*poolStat{},
		flights: map[Ticket]*stat{},
	}
	r.filters = []Filter{
		stateFilter{},
		regionFilter{region: opts.Region, allowed: opts.CrossRegion},
		excludedFilter{},
		modelFilter{},
		circuitFilter{},
		ejectedFilter{},
	}
	r.scorers = []Scorer{
		loadScorer{slots: opts.Slots},
		latencyScorer{},
		failureScorer{},
		prefixScorer{saveMS: opts.PrefixSaveMS},
		regionScorer{region: opts.Region, penaltyMS: opts.RegionPenaltyMS, paidMSPerMB: opts.PaidMSPerMB},
		trustScorer{slots: opts.Slots},
	}
	r.picker = &twoChoices{share: opts.NearEqual, marginMS: opts.NearEqualMS}
	return r
}

// Choose takes an upstream for the request. The attempt counts as in flight
// until Done. It fails with *NoCandidateError.
func (r *Router) Choose(source Source, request Request, now time.Time) (Choice, error) {
	r.counts.Choices++
	r.request = request
	req := &r.request
	upstreams := source.Pool(req.Pool)
	pool := r.prepare(source, req.Pool, now)
	r.collect(pool, upstreams, req, now)
	reused := false
	if len(r.candidates) == 0 && len(req.Excluded) > 0 {
		// The same upstream again is better than none.
		req.Excluded = nil
		reused = true
		r.collect(pool, upstreams, req, now)
	}
	if len(r.candidates) == 0 {
		r.counts.NoCandidate++
		return Choice{}, r.noCandidate(upstreams, req, now)
	}
	c := r.pick(req, now)
	choice := r.dispatch(c, req, now)
	choice.Reused = reused
	if reused {
		r.counts.Reused++
	}
	return choice, nil
}

// collect fills the candidates that pass the filters. From a large pool it
// takes random upstreams until enough of them pass.
func (r *Router) collect(pool *poolStat, upstreams []*membership.Upstream, req *Request, now time.Time) {
	r.candidates = r.candidates[:0]
	n := len(upstreams)
	if n <= r.opts.MaxScored {
		for i := range upstreams {
			r.consider(pool, upstreams, i, req, now)
		}
		return
	}
	// A random start with a stride that is coprime to n visits each upstream at
	// most once, without a permutation of the whole pool.
	start, stride := r.rng.IntN(n), coprime(n, r.rng)
	for i, at := 0, start; i < n && len(r.candidates) < r.opts.MaxScored; i++ {
		r.consider(pool, upstreams, at, req, now)
		at += stride
		if at >= n {
			at -= n
		}
	}
}

// consider adds the upstream at index i to the candidates if it passes the
// filters.
func (r *Router) consider(pool *poolStat, upstreams []*membership.Upstream, i int, req *Request, now time.Time) {
	s := pool.aligned[i]
	if s == nil {
		s = r.stat(upstreams[i])
		pool.aligned[i] = s
	}
	r.candidates = append(r.candidates, Candidate{Upstream: upstreams[i], stat: s})
	last := len(r.candidates) - 1
	if r.filter(req, &r.candidates[last], now) != "" {
		r.candidates = r.candidates[:last]
	}
}

// filter gives the name of the filter that drops the candidate, if any does.
func (r *Router) filter(req *Request, c *Candidate, now time.Time) string {
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

// pick scores the candidates. A due probe goes first, since only a probe shows
// whether the upstream is back.
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

func (r *Router) dispatch(c *Candidate, req *Request, now time.Time) Choice {
	r.next++
	s := c.stat
	s.start(uint64(r.next), now)
	r.flights[r.next] = s
	if c.Probe {
		r.counts.Probes++
		s.ejection.probe(r.opts.Ejection.ProbeTimeout, now)
		s.circuit.probe(r.opts.Ejection.ProbeTimeout, now)
	}
	if len(req.Prefix) > 0 {
		r.prefixes(s).predict(req.Prefix, now)
	}
	return Choice{Upstream: c.Upstream, Ticket: r.next, Probe: c.Probe, CostMS: c.CostMS}
}

// Done ends an attempt.
func (r *Router) Done(ticket Ticket, o Outcome, now time.Time) {
	s, ok := r.flights[ticket]
	if !ok {
		return
	}
	delete(r.flights, ticket)
	s.finish(uint64(ticket), now)
	r.observeLatency(s, o, now)
	if o.Result == ConnectFailure {
		s.circuit.failed(r.opts.Circuit, now)
	} else if o.Result != Cancelled {
		s.circuit.connected()
	}
	r.judgeOutcome(s, o, now)
}

// observeLatency keeps what the outcome says about the upstream's speed. A
// timeout or a lost hedge is a lower bound and counts only if it is above the
// expectation.
func (r *Router) observeLatency(s *stat, o Outcome, now time.Time) {
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

// ObserveLoad takes a load report, from Damask-Load or GET /load.
func (r *Router) ObserveLoad(address string, l Load, now time.Time) {
	if s := r.stats[address]; s != nil {
		s.observeLoad(l, now)
	}
}

// ObserveModels records the models and adapters that an upstream has loaded.
func (r *Router) ObserveModels(address string, models, adapters []string) {
	if s := r.stats[address]; s != nil {
		s.models = set(models)
		s.adapters = set(adapters)
	}
}

// ObserveCache takes cache events of an upstream.
func (r *Router) ObserveCache(address string, events []CacheEvent) {
	if s := r.stats[address]; s != nil {
		r.prefixes(s).apply(events)
	}
}

// Counts gives the counters.
func (r *Router) Counts() Counts { return r.counts }

func (r *Router) prefixes(s *stat) *prefixCache {
	if s.prefixes == nil {
		s.prefixes = newPrefixCache(r.opts.PrefixBlocks, r.opts.PrefixLife)
	}
	return s.prefixes
}

func (r *Router) prepare(source Source, name string, now time.Time) *poolStat {
	p := r.pool(name)
	p.prune(source, name, r.forget)
	p.align(source.Pool(name))
	p.refresh(now)
	return p
}

func (r *Router) forget(s *stat) { delete(r.stats, s.address) }

// noCandidate counts the reasons and finds the next probe.
func (r *Router) noCandidate(upstreams []*membership.Upstream, req *Request, now time.Time) error {
	e := &NoCandidateError{Pool: req.Pool, Known: len(upstreams), Dropped: map[string]int{}}
	for _, u := range upstreams {
		c := Candidate{Upstream: u, stat: r.stat(u)}
		e.Dropped[r.filter(req, &c, now)]++
		for _, g := range []*gate{&c.stat.ejection.gate, &c.stat.circuit.gate} {
			wait := g.until.Sub(now)
			if g.shut && wait > 0 && (e.RetryAfter == 0 || wait < e.RetryAfter) {
				e.RetryAfter = wait
			}
		}
	}
	return e
}

func (r *Router) pool(name string) *poolStat {
	p := r.pools[name]
	if p == nil {
		p = newPoolStat(&r.opts)
		r.pools[name] = p
	}
	return p
}

func (r *Router) stat(u *membership.Upstream) *stat {
	s := r.stats[u.Address]
	if s == nil {
		p := r.pool(u.Pool)
		s = &stat{address: u.Address, pool: p, region: p.region(u.Region), credibility: 1}
		r.stats[u.Address] = s
		s.pool.stats = append(s.pool.stats, s)
	}
	return s
}

func set(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}
