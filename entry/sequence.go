package entry

import (
	"sync"

	"damaskbridge.example/damaskbridge/ids"
)

const (
	// sequenceBlock is how many sequence numbers are reserved at once.
	sequenceBlock = 4096
	// sequenceLowWatermark is the number of unused numbers at which the next
	// block is reserved.
	sequenceLowWatermark = sequenceBlock / 2
)

// sequence allocates request IDs from reserved blocks of sequence numbers. It is
// safe for concurrent use.
type sequence struct {
	mu      sync.Mutex
	session ids.SessionID
	// last is the last number handed out, limit the last one reserved.
	last  uint64
	limit uint64
	// refill is signalled when another block should be reserved.
	refill chan struct{}
}

func newSequence() *sequence {
	return &sequence{refill: make(chan struct{}, 1)}
}

// next returns a new request ID; ok is false if no reserved number is left.
func (s *sequence) next() (id ids.RequestID, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit-s.last <= sequenceLowWatermark {
		s.requestRefill()
	}
	if s.last >= s.limit {
		return ids.RequestID{}, false
	}
	s.last++
	return ids.RequestID{Session: s.session, Seq: s.last}, true
}

func (s *sequence) requestRefill() {
	select {
	case s.refill <- struct{}{}:
	default:
	}
}

// reset starts the numbering of a new session.
func (s *sequence) reset(session ids.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session = session
	s.last = 0
	s.limit = 0
}

// extend raises the limit to upTo if session is still the current one.
func (s *sequence) extend(session ids.SessionID, upTo uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == session && upTo > s.limit {
		s.limit = upTo
	}
}

// nextReservation returns the session, the limit to reserve next, and whether
// the reservation is due.
func (s *sequence) nextReservation() (ids.SessionID, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.session, s.limit + sequenceBlock, s.limit-s.last <= sequenceLowWatermark
}

// ready reports whether a request ID is available.
func (s *sequence) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last < s.limit
}

// lastUsed returns the session and its last number handed out.
func (s *sequence) lastUsed() (ids.SessionID, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.session, s.last
}
