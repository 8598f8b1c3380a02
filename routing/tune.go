package routing

// Tune puts options into effect at run time, as checked by Options.Check. What
// the router has learned is kept. A baseline keeps its chain.
func (r *Router) Tune(opts Options) {
	r.opts = opts
	for i, f := range r.filters {
		if _, ok := f.(regionFilter); ok {
			r.filters[i] = regionFilter{region: opts.Region, allowed: opts.CrossRegion}
		}
	}
	for i, s := range r.scorers {
		if _, ok := s.(regionScorer); ok {
			r.scorers[i] = regionScorer{region: opts.Region, penaltyMS: opts.RegionPenaltyMS, paidMSPerMB: opts.PaidMSPerMB}
		}
	}
}

// Tune is Router.Tune.
func (s *Shared) Tune(opts Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Tune(opts)
}
