package stream

import (
	"sync"
	"time"
)

// Shared is an Assembler for one or more writers (the attempts) and any number
// of readers (the caller's connections). It is safe for concurrent use.
type Shared struct {
	mu      sync.Mutex
	core    *Assembler
	changed chan struct{}
}

// NewShared gives an empty shared assembler.
func NewShared(opts Options) *Shared {
	return &Shared{core: NewAssembler(opts), changed: make(chan struct{})}
}

// Begin is Assembler.Begin.
func (s *Shared) Begin(number int, now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Begin(number, now)
}

// Fail is Assembler.Fail.
func (s *Shared) Fail(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Fail(number)
}

// Append is Assembler.Append; it wakes the readers if the token is new.
func (s *Shared) Append(number int, text string, now time.Time) (Token, Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, v, err := s.core.Append(number, text, now)
	if v == Accepted {
		s.wake()
	}
	return t, v, err
}

// Finish is Assembler.Finish; it wakes the readers.
func (s *Shared) Finish(number int, count uint64, now time.Time) (End, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end, err := s.core.Finish(number, count, now)
	if err == nil {
		s.wake()
	}
	return end, err
}

// Stalled is Assembler.Stalled.
func (s *Shared) Stalled(number int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Stalled(number, now)
}

// Hold is Assembler.Hold.
func (s *Shared) Hold(number int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Hold(number, now)
}

// Room is Assembler.Room.
func (s *Shared) Room(n uint64) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Room(n)
}

// Read gives the tokens above n, the end if the stream is complete, and a
// channel that is closed at the next change.
func (s *Shared) Read(n uint64) (tokens []Token, end *End, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens, err = s.core.After(n)
	return tokens, s.core.end, s.changed, err
}

func (s *Shared) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
