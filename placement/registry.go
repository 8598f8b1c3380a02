package placement

import (
	"time"

	"damaskbridge.example/damaskbridge/warmup"
)

// Load is the load that a runner reported about itself.
type Load struct {
	Running, Waiting, Slots int
	// At is the time at which the report arrived.
	At time.Time
}

// RunnerState is the state that this VM keeps about one runner.
type RunnerState struct {
	ID   string
	Addr string
	Zone string
	// StartedUnixMS is the start time as a Unix time in ms, 0 if unknown.
	StartedUnixMS int64
	// ActiveRequests is the number of this VM's own requests at the runner.
	// PendingPromptTokens is the number of prompt tokens of those that have not
	// produced a first token yet.
	ActiveRequests      int
	PendingPromptTokens int
	Load                Load
	// backoffUntil and failures implement the exponential backoff after failures.
	backoffUntil time.Time
	failures     int
	// Recovery is what is known of the runner after a failed connection.
	Recovery warmup.Recovery
	// WarmingUp is true if the runner may be cold. The owner sets it before a choice.
	WarmingUp bool
	prefixes  map[uint64]time.Time
}

// Name names the runner, whichever process of it runs.
func (s *RunnerState) Name() string { return s.ID + " " + s.Addr }

// Registry holds the states of all listed or used runners, by ID and address. It
// is not safe for concurrent use.
type Registry struct {
	states map[string]*RunnerState
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry { return &Registry{states: map[string]*RunnerState{}} }

// GetOrCreate returns the state of a runner and creates it if necessary.
func (r *Registry) GetOrCreate(id, addr, zone string) *RunnerState {
	key := id + " " + addr
	s := r.states[key]
	if s == nil {
		s = &RunnerState{ID: id, Addr: addr, Zone: zone, prefixes: map[uint64]time.Time{}}
		r.states[key] = s
	}
	return s
}

// Retain deletes the states that have no active requests and for which keep
// returns false.
func (r *Registry) Retain(keep func(id, addr string) bool) {
	for key, s := range r.states {
		if s.ActiveRequests == 0 && !keep(s.ID, s.Addr) {
			delete(r.states, key)
		}
	}
}

const (
	// initialBackoff is the backoff after a runner's first failure. It doubles
	// with each consecutive failure up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// maxFailures caps the exponent of the backoff.
	maxFailures = 6
	// fullBackoff is the backoff after a runner refused a request because it was
	// full.
	fullBackoff = 200 * time.Millisecond
	// maxPrefixes bounds the number of prompt prefixes remembered per runner.
	maxPrefixes = 4096
)

// RecordFailure records a failure of the runner or of the connection to it and
// starts a backoff.
func (s *RunnerState) RecordFailure(now time.Time) {
	s.failures = min(s.failures+1, maxFailures)
	s.backoffUntil = now.Add(min(initialBackoff<<(s.failures-1), maxBackoff))
}

// RecordFull records that the runner refused a request for lack of capacity.
func (s *RunnerState) RecordFull(now time.Time) { s.backoffUntil = now.Add(fullBackoff) }

// RecordMisdirected records that another runner now listens on the address.
func (s *RunnerState) RecordMisdirected(now time.Time) { s.backoffUntil = now.Add(maxBackoff) }

// RecordSuccess records a success and resets the failure count.
func (s *RunnerState) RecordSuccess() { s.failures = 0 }

// InBackoff reports whether the runner is in backoff.
func (s *RunnerState) InBackoff(now time.Time) bool { return now.Before(s.backoffUntil) }

// HasQueue reports whether the runner's latest report is recent and shows
// waiting requests.
func (s *RunnerState) HasQueue(now time.Time) bool {
	return now.Sub(s.Load.At) < maxLoadAge && s.Load.Waiting > 0
}

// RecordPrompt records that the prefixes of the prompt are in the runner's
// cache.
func (s *RunnerState) RecordPrompt(now time.Time, p *Prompt) {
	if len(s.prefixes) > maxPrefixes {
		clear(s.prefixes)
	}
	for _, c := range p.prefixes() {
		s.prefixes[c.hash] = now
	}
}

// ClearCache discards the record of the runner's cached prefixes.
func (s *RunnerState) ClearCache() { clear(s.prefixes) }

// CachedTokens returns the number of leading prompt tokens that are probably
// still in the runner's cache.
func (s *RunnerState) CachedTokens(now time.Time, p *Prompt) int {
	tokens := 0
	for _, c := range p.prefixes() {
		at, ok := s.prefixes[c.hash]
		if !ok || now.Sub(at) > prefixTTL {
			break
		}
		tokens = c.tokens
	}
	return tokens
}
