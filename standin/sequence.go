package standin

import "context"

// sequence is one completion in work at an engine.
type sequence struct {
	ctx     context.Context
	attempt string
	rank    int
	arrival uint64
	tokens  []string
	// resume is the number of tokens that the caller has already.
	resume int
	// next is the index of the next token; it belongs to the engine's loop.
	next   int
	chain  []uint64
	prompt int
	cached int
	// out gets the tokens. Its buffer holds all of them, so the engine's loop
	// never waits for a slow caller.
	out chan string
	// cancelled is closed by a cancel call.
	cancelled chan struct{}
	stopped   bool
}

// ended says whether nobody waits for the sequence any more.
func (s *sequence) ended() bool {
	if s.stopped {
		return true
	}
	select {
	case <-s.ctx.Done():
		return true
	default:
		return false
	}
}

// before orders the queue by priority, then by arrival.
func (s *sequence) before(o *sequence) bool {
	if s.rank != o.rank {
		return s.rank < o.rank
	}
	return s.arrival < o.arrival
}

// rankOf returns the place of a priority; an unknown one counts as normal.
func rankOf(priority string) int {
	switch priority {
	case "interactive":
		return 0
	case "batch":
		return 2
	default:
		return 1
	}
}
