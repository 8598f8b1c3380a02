package entry

import (
	"sync"

	"damaskbridge.example/damaskbridge/ids"
)

const (
	// sequenceBlock is how many sequence numbers are reserved at once.
	sequenceBlock = 4096
	// sequenceLow is the rest of a block at which the next one is asked for.
	sequenceLow = sequenceBlock / 2
)

// sequence hands out request ids from reserved blocks. It is safe for
// concurrent use.
type sequence struct {
	mu      sync.Mutex
	session ids.SessionID
	last    uint64
	upTo    uint64
	// low is signalled when another block should be reserved.
	low chan struct{}
}

func newSequence() *sequence {
	return &sequence{low: make(chan struct{}, 1)}
}

// next gives a new request id; ok is false if no reserved number is left.
func (s *sequence) next() (id ids.RequestID, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upTo-s.last <= sequenceLow {
		s.signal()
	}
	if s.last >= s.upTo {
		return ids.RequestID{}, false
	}
	s.last++
	return ids.RequestID{Session: s.session, Seq: s.last}, true
}

func (s *sequence) signal() {
	select {
	case s.low <- struct{}{}:
	default:
	}
}

// open starts the numbers of a new session.
func (s *sequence) open(session ids.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session = session
	s.last = 0
	s.upTo = 0
}

// extend allows numbers up to upTo, if session is still the current one.
func (s *sequence) extend(session ids.SessionID, upTo uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == session && upTo > s.upTo {
		s.upTo = upTo
	}
}

// wanted gives the session and the limit to reserve next.
func (s *sequence) wanted() (ids.SessionID, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.session, s.upTo + sequenceBlock, s.upTo-s.last <= sequenceLow
}

// ready says whether a request id can be given.
func (s *sequence) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last < s.upTo
}

// used gives the last number handed out.
func (s *sequence) used() (ids.SessionID, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.session, s.last
}
