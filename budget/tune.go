package budget

// SetHedgePercentile sets the fraction of attempts that finish before a hedge is
// sent. It must be above 0 and below 1.
func (s *Shared) SetHedgePercentile(percentile float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.opts.HedgePercentile = percentile
}
