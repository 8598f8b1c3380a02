package admission

// SetOptions replaces the options of all pools without options of their own at run
// time. Options must pass Options.Check. The current limits of the gates are
// kept, clamped to the new bounds.
func (s *Controller) SetOptions(opts Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts = opts
	for pool, p := range s.gates {
		p.gate.setOptions(s.poolOptions(pool))
	}
}

// SetPoolOptions sets options for one pool; later calls of Tune no longer affect it.
// Options must pass Options.Check.
func (s *Controller) SetPoolOptions(pool string, opts Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poolOpts[pool] = opts
	if p := s.gates[pool]; p != nil {
		p.gate.setOptions(opts)
	}
}

// poolOptions returns the options of a pool. The caller holds mu.
func (s *Controller) poolOptions(pool string) Options {
	if opts, ok := s.poolOpts[pool]; ok {
		return opts
	}
	return s.opts
}

func (g *Gate) setOptions(opts Options) {
	g.opts = opts
	g.limiter.opts = opts.Limiter
	g.limiter.setLimit(g.limiter.limit)
}
