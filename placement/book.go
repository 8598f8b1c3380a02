package placement

import (
	"time"
)

// Load is what a runner said of itself.
type Load struct {
	Running, Waiting, Slots int
	// At is when the response arrived.
	At time.Time
}

// Entry is what this VM knows of one runner.
type Entry struct {
	ID   string
	Addr string
	Zone string
	// Active is the number of own requests there, Prefilling the prompt tokens
	// of those without a first token yet.
	Active     int
	Prefilling int
	Load       Load
	// avoidUntil and failures keep requests away after failures.
	avoidUntil time.Time
	failures   int
	parts      map[uint64]time.Time
}

// Book holds the entries of the runners that were used or listed, by ID and
// address. It is not safe for concurrent use.
type Book struct {
	entries map[string]*Entry
}

// NewBook makes an empty book.
func NewBook() *Book { return &Book{entries: map[string]*Entry{}} }

// Entry gives the entry of a runner, a new one if there is none.
func (b *Book) Entry(id, addr, zone string) *Entry {
	key := id + " " + addr
	e := b.entries[key]
	if e == nil {
		e = &Entry{ID: id, Addr: addr, Zone: zone, parts: map[uint64]time.Time{}}
		b.entries[key] = e
	}
	return e
}

// Retain drops the entries without own requests that are not in keep.
func (b *Book) Retain(keep func(id, addr string) bool) {
	for key, e := range b.entries {
		if e.Active == 0 && !keep(e.ID, e.Addr) {
			delete(b.entries, key)
		}
	}
}

const (
	// firstAvoid is how long a runner is let alone after its first failure; it
	// doubles with each further one up to maxAvoid.
	firstAvoid  = 500 * time.Millisecond
	maxAvoid    = 8 * time.Second
	maxFailures = 6
	// fullAvoid is the pause after a runner said that it is full.
	fullAvoid = 200 * time.Millisecond
	// maxParts bounds the parts that are remembered of one runner.
	maxParts = 4096
)

// Failed notes a failure of the runner or of the way to it.
func (e *Entry) Failed(now time.Time) {
	e.failures = min(e.failures+1, maxFailures)
	e.avoidUntil = now.Add(min(firstAvoid<<(e.failures-1), maxAvoid))
}

// Full notes that the runner refused for want of room.
func (e *Entry) Full(now time.Time) { e.avoidUntil = now.Add(fullAvoid) }

// Misdirected notes that another runner has the address now.
func (e *Entry) Misdirected(now time.Time) { e.avoidUntil = now.Add(maxAvoid) }

// Worked notes a success.
func (e *Entry) Worked() { e.failures = 0 }

// Avoided says whether requests go elsewhere for now.
func (e *Entry) Avoided(now time.Time) bool { return now.Before(e.avoidUntil) }

// Queueing says whether the runner told lately that requests wait there.
func (e *Entry) Queueing(now time.Time) bool {
	return now.Sub(e.Load.At) < loadFresh && e.Load.Waiting > 0
}

// Keep remembers that the runner has read a prompt.
func (e *Entry) Keep(now time.Time, p *Prompt) {
	if len(e.parts) > maxParts {
		clear(e.parts)
	}
	for _, c := range p.chains() {
		e.parts[c.hash] = now
	}
}

// Restarted forgets what the runner had read.
func (e *Entry) Restarted() { clear(e.parts) }

// Cached gives the leading tokens of a prompt that the runner has probably
// still in memory.
func (e *Entry) Cached(now time.Time, p *Prompt) int {
	tokens := 0
	for _, c := range p.chains() {
		at, ok := e.parts[c.hash]
		if !ok || now.Sub(at) > keptFor {
			break
		}
		tokens = c.tokens
	}
	return tokens
}
