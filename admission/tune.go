package admission

// Tune puts options into effect at run time for all pools without options of
// their own, as checked by Options.Check. The limits that the gates have found
// are kept within the new bounds.
func (s *Shared) Tune(opts Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts = opts
	for pool, w := range s.gates {
		w.gate.tune(s.optionsOf(pool))
	}
}

// TunePool puts options of its own into effect for one pool.
func (s *Shared) TunePool(pool string, opts Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools[pool] = opts
	if w := s.gates[pool]; w != nil {
		w.gate.tune(opts)
	}
}

// optionsOf gives the options of a pool. The caller holds mu.
func (s *Shared) optionsOf(pool string) Options {
	if opts, ok := s.pools[pool]; ok {
		return opts
	}
	return s.opts
}

func (g *Gate) tune(opts Options) {
	g.opts = opts
	g.limiter.opts = opts.Limiter
	g.limiter.set(g.limiter.limit)
}
