package retry

// Tune puts options into effect at run time, as checked by BudgetOptions.Check.
// The window must stay the same, since the counts are kept in its slots.
func (s *SharedBudget) Tune(opts BudgetOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts.Window = s.core.opts.Window
	s.core.opts = opts
}
