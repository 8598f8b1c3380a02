package budget

// TuneHedge sets the part of attempts that end before a hedge is sent, above 0
// and below 1.
func (s *Shared) TuneHedge(percentile float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.opts.HedgePercentile = percentile
}
