package admission

// Tune puts options into effect at run time, as checked by Options.Check. The
// limits that the gates have found are kept within the new bounds.
func (s *Shared) Tune(opts Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts = opts
	for _, w := range s.gates {
		w.gate.opts = opts
		w.gate.limiter.opts = opts.Limiter
		w.gate.limiter.set(w.gate.limiter.limit)
	}
}
