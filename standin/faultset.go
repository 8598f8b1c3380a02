package standin

import "sync"

// faultSet holds the faults in force at one runner.
type faultSet struct {
	mu     sync.Mutex
	active map[FaultKind]*Fault
	// changed is closed at the next change of the faults in force.
	changed chan struct{}
}

func newFaultSet() *faultSet {
	return &faultSet{active: map[FaultKind]*Fault{}, changed: make(chan struct{})}
}

func (s *faultSet) set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
	if f.Kind == FaultReturn {
		clear(s.active)
		return
	}
	s.active[f.Kind] = &f
}

// get returns the fault of a kind, if it is in force.
func (s *faultSet) get(kind FaultKind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.active[kind]
	if !ok {
		return Fault{}, false
	}
	return *f, true
}

// take is get and uses up one call of a fault that has a Count.
func (s *faultSet) take(kind FaultKind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.active[kind]
	if !ok {
		return Fault{}, false
	}
	taken := *f
	if f.Count > 0 {
		f.Count--
		if f.Count == 0 {
			delete(s.active, kind)
		}
	}
	return taken, true
}

// pausedAt returns whether a stream is paused before its token at position, and
// a channel that is closed at the next change.
func (s *faultSet) pausedAt(position int) (paused bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.active[FaultPause]
	return ok && position > f.AfterTokens, s.changed
}

func (s *faultSet) slowFactor() float64 {
	if f, ok := s.get(FaultSlow); ok {
		return f.Factor
	}
	return 1
}
