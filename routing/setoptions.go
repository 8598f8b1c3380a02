package routing

// SetOptions replaces the options at run time. Options must pass Options.Check.
// The router keeps its statistics, and a baseline keeps its filters, scorers and
// picker.
func (r *Router) SetOptions(opts Options) {
	r.opts = opts
	for i, f := range r.filters {
		if _, ok := f.(regionFilter); ok {
			r.filters[i] = regionFilter{region: opts.Region, allowed: opts.CrossRegion}
		}
	}
	for i, s := range r.scorers {
		if _, ok := s.(regionScorer); ok {
			r.scorers[i] = regionScorer{region: opts.Region, penaltyMS: opts.RegionPenaltyMS, transferMSPerMB: opts.TransferMSPerMB}
		}
	}
}

// SetOptions calls Router.SetOptions.
func (c *ConcurrentRouter) SetOptions(opts Options) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.SetOptions(opts)
}
