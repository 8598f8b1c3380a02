package stream

import (
	"sync"
	"time"
)

// SharedAssembler is an Assembler that is safe for concurrent use, with one or
// more writers (the attempts) and any number of readers (the caller's
// connections).
type SharedAssembler struct {
	mu        sync.Mutex
	assembler *Assembler
	changed   chan struct{}
}

// NewSharedAssembler returns an empty shared assembler.
func NewSharedAssembler(opts Options) *SharedAssembler {
	return &SharedAssembler{assembler: NewAssembler(opts), changed: make(chan struct{})}
}

// Begin calls Assembler.Begin.
func (s *SharedAssembler) Begin(number int, now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assembler.Begin(number, now)
}

// Fail calls Assembler.Fail.
func (s *SharedAssembler) Fail(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assembler.Fail(number)
}

// Append calls Assembler.Append and notifies the readers of an accepted token.
func (s *SharedAssembler) Append(number int, text string, now time.Time) (Token, Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, v, err := s.assembler.Append(number, text, now)
	if v == Accepted {
		s.notifyReaders()
	}
	return t, v, err
}

// Finish calls Assembler.Finish and notifies the readers.
func (s *SharedAssembler) Finish(number int, count uint64, now time.Time) (End, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end, err := s.assembler.Finish(number, count, now)
	if err == nil {
		s.notifyReaders()
	}
	return end, err
}

// Stalled calls Assembler.Stalled.
func (s *SharedAssembler) Stalled(number int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assembler.Stalled(number, now)
}

// Pause calls Assembler.Pause.
func (s *SharedAssembler) Pause(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assembler.Pause(number)
}

// Resume calls Assembler.Resume.
func (s *SharedAssembler) Resume(number int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assembler.Resume(number, now)
}

// FreeTokens calls Assembler.FreeTokens.
func (s *SharedAssembler) FreeTokens(n uint64) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assembler.FreeTokens(n)
}

// Read returns the tokens above n, the end if the stream is complete, and a
// channel that is closed at the next change.
func (s *SharedAssembler) Read(n uint64) (tokens []Token, end *End, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens, err = s.assembler.TokensAfter(n)
	return tokens, s.assembler.end, s.changed, err
}

func (s *SharedAssembler) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}
