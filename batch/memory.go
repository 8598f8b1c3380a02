package batch

// HasRunner reports whether a runner at an address is listed.
func (a *Assembler) HasRunner(addr string) bool { return a.runners[addr] != nil }

// Release removes results that are no longer needed from the accounted memory.
func (a *Assembler) Release(runner string, handles []string) {
	rs := a.runners[runner]
	if rs == nil {
		return
	}
	for _, handle := range handles {
		rs.forget(handle)
	}
}

// MarkFreed records that a runner has dropped results although items that use
// them have not ended.
func (a *Assembler) MarkFreed(runner string, handles []string) {
	rs := a.runners[runner]
	if rs == nil {
		return
	}
	for _, handle := range handles {
		rs.markFreed(handle)
	}
}

// WithoutFreed returns the given results without those recorded by MarkFreed.
// Results that are unknown here count as kept.
func (a *Assembler) WithoutFreed(runner string, handles []string) []string {
	rs := a.runners[runner]
	if rs == nil {
		return handles
	}
	var kept []string
	for _, handle := range handles {
		if !rs.results[handle].freed {
			kept = append(kept, handle)
		}
	}
	return kept
}

// IsLowOnMemory reports whether a runner lacks the memory for another full call.
func (a *Assembler) IsLowOnMemory(runner string) bool {
	rs := a.runners[runner]
	if rs == nil || a.spec.ResultMemoryBytes == 0 {
		return false
	}
	free := int64(usableMemoryFraction*float64(a.spec.ResultMemoryBytes)) - rs.usedBytes
	return free < int64(max(a.spec.MaxBatch, 1))*rs.maxResultBytes
}

// UsedBytes returns the accounted memory of a runner's results and calls in
// flight, in bytes.
func (a *Assembler) UsedBytes(runner string) int64 {
	if rs := a.runners[runner]; rs != nil {
		return rs.usedBytes
	}
	return 0
}
