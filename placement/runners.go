package placement

import (
	"time"
)

// Load is the load that a runner reported about itself.
type Load struct {
	Running, Waiting, Slots int
	// At is the time at which the report arrived.
	At time.Time
}

// Entry is the state that this VM keeps about one runner.
type Entry struct {
	ID   string
	Addr string
	Zone string
	// Active is the number of this VM's own requests at the runner. Prefilling is
	// the number of prompt tokens of those that have not produced a first token
	// yet.
	Active     int
	Prefilling int
	Load       Load
	// backoffUntil and failures implement the exponential backoff after failures.
	backoffUntil time.Time
	failures     int
	prefixes     map[uint64]time.Time
}

// Book holds the entries of all listed or used runners, by ID and address. It
// is not safe for concurrent use.
type Book struct {
	entries map[string]*Entry
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{entries: map[string]*Entry{}} }

// Entry returns the entry of a runner and creates it if necessary.
func (b *Book) Entry(id, addr, zone string) *Entry {
	key := id + " " + addr
	e := b.entries[key]
	if e == nil {
		e = &Entry{ID: id, Addr: addr, Zone: zone, prefixes: map[uint64]time.Time{}}
		b.entries[key] = e
	}
	return e
}

// Retain deletes the entries that have no active requests and for which keep
// returns false.
func (b *Book) Retain(keep func(id, addr string) bool) {
	for key, e := range b.entries {
		if e.Active == 0 && !keep(e.ID, e.Addr) {
			delete(b.entries, key)
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

// Failed records a failure of the runner or of the connection to it and starts
// a backoff.
func (e *Entry) Failed(now time.Time) {
	e.failures = min(e.failures+1, maxFailures)
	e.backoffUntil = now.Add(min(initialBackoff<<(e.failures-1), maxBackoff))
}

// Full records that the runner refused a request for lack of capacity.
func (e *Entry) Full(now time.Time) { e.backoffUntil = now.Add(fullBackoff) }

// Misdirected records that another runner now listens on the address.
func (e *Entry) Misdirected(now time.Time) { e.backoffUntil = now.Add(maxBackoff) }

// Worked records a success and resets the failure count.
func (e *Entry) Worked() { e.failures = 0 }

// Avoided reports whether the runner is in backoff.
func (e *Entry) Avoided(now time.Time) bool { return now.Before(e.backoffUntil) }

// Queueing reports whether the runner's latest report is recent and shows
// waiting requests.
func (e *Entry) Queueing(now time.Time) bool {
	return now.Sub(e.Load.At) < maxLoadAge && e.Load.Waiting > 0
}

// Keep records that the prefixes of the prompt are in the runner's cache.
func (e *Entry) Keep(now time.Time, p *Prompt) {
	if len(e.prefixes) > maxPrefixes {
		clear(e.prefixes)
	}
	for _, c := range p.prefixes() {
		e.prefixes[c.hash] = now
	}
}

// Restarted discards the record of the runner's cached prefixes.
func (e *Entry) Restarted() { clear(e.prefixes) }

// Cached returns the number of leading prompt tokens that are probably still in
// the runner's cache.
func (e *Entry) Cached(now time.Time, p *Prompt) int {
	tokens := 0
	for _, c := range p.prefixes() {
		at, ok := e.prefixes[c.hash]
		if !ok || now.Sub(at) > prefixTTL {
			break
		}
		tokens = c.tokens
	}
	return tokens
}
