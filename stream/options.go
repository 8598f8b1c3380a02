package stream

import (
	"errors"
	"time"
)

// Defaults of Options.
const (
	DefaultReplayTokens = 4096
	DefaultReplayBytes  = 256 << 10
	DefaultOverlap      = 2
	DefaultFirstGap     = 10 * time.Second
	DefaultTokenGap     = 2 * time.Second
)

// Options set the bounds of one Assembler.
type Options struct {
	// ReplayTokens and ReplayBytes bound the replay buffer.
	ReplayTokens int
	ReplayBytes  int
	// Overlap is the number of tokens that a resumed attempt sends again. They
	// are compared with those already accepted, which finds an engine that
	// ignores the resume offset or produces another completion.
	Overlap int
	// FirstGap is the longest wait for the first token of an attempt.
	FirstGap time.Duration
	// TokenGap is the longest wait between two tokens of an attempt.
	TokenGap time.Duration
}

// DefaultOptions gives the defaults.
func DefaultOptions() Options {
	return Options{
		ReplayTokens: DefaultReplayTokens,
		ReplayBytes:  DefaultReplayBytes,
		Overlap:      DefaultOverlap,
		FirstGap:     DefaultFirstGap,
		TokenGap:     DefaultTokenGap,
	}
}

// Check reports the first option that is out of bounds.
func (o Options) Check() error {
	switch {
	case o.ReplayTokens < 1:
		return errors.New("stream: ReplayTokens is below 1; set at least 1")
	case o.ReplayBytes < 1:
		return errors.New("stream: ReplayBytes is below 1; set at least 1")
	case o.Overlap < 0 || o.Overlap >= o.ReplayTokens:
		return errors.New("stream: Overlap must be at least 0 and below ReplayTokens")
	case o.FirstGap <= 0 || o.TokenGap <= 0:
		return errors.New("stream: FirstGap and TokenGap must be positive")
	}
	return nil
}
