package stream

import (
	"errors"
	"time"
)

// Defaults of Options.
const (
	DefaultReplayTokens      = 4096
	DefaultReplayBytes       = 256 << 10
	DefaultOverlap           = 2
	DefaultFirstTokenTimeout = 10 * time.Second
	DefaultTokenTimeout      = 2 * time.Second
)

// Options configures an Assembler.
type Options struct {
	// ReplayTokens and ReplayBytes limit the size of the replay buffer.
	ReplayTokens int
	ReplayBytes  int
	// Overlap is the number of accepted tokens that a resumed attempt sends again.
	// They are compared, to detect an engine that ignores the resume offset or
	// generates another completion.
	Overlap int
	// FirstTokenTimeout is the maximum time until the first token of an attempt.
	FirstTokenTimeout time.Duration
	// TokenTimeout is the maximum time between two tokens of an attempt.
	TokenTimeout time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		ReplayTokens:      DefaultReplayTokens,
		ReplayBytes:       DefaultReplayBytes,
		Overlap:           DefaultOverlap,
		FirstTokenTimeout: DefaultFirstTokenTimeout,
		TokenTimeout:      DefaultTokenTimeout,
	}
}

// Check returns an error for the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.ReplayTokens < 1:
		return errors.New("stream: ReplayTokens must be at least 1")
	case o.ReplayBytes < 1:
		return errors.New("stream: ReplayBytes must be at least 1")
	case o.Overlap < 0 || o.Overlap >= o.ReplayTokens:
		return errors.New("stream: Overlap must be at least 0 and less than ReplayTokens")
	case o.FirstTokenTimeout <= 0 || o.TokenTimeout <= 0:
		return errors.New("stream: FirstTokenTimeout and TokenTimeout must be positive")
	}
	return nil
}
