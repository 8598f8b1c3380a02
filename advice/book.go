package advice

import (
	"sync"
	"time"
)

const (
	// maxProcesses bounds the processes of runners that are remembered.
	maxProcesses = 4096
	// memory is how long the word of a process is remembered after its last one.
	// It is longer than a process goes on after it has said that it leaves.
	memory = 10 * time.Minute
)

// Book remembers what the processes of runners have said. The zero value is empty.
// It is safe for concurrent use.
type Book struct {
	mu        sync.Mutex
	processes map[string]*word
	// lastPauseEnd is the end of the pause that ends last.
	lastPauseEnd time.Time
}

// word is what one process has said.
type word struct {
	leavingSince time.Time
	pausedUntil  time.Time
	saidAt       time.Time
}

// Record stores the advice of a process. It reports whether that changes what the
// process may be sent.
func (b *Book) Record(now time.Time, process string, a Advice) (changed bool) {
	if a.IsZero() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.processes[process]
	if w == nil {
		w = b.add(now, process)
	}
	w.saidAt = now
	if a.Leaving && w.leavingSince.IsZero() {
		w.leavingSince = now
		changed = true
	}
	if until := now.Add(a.Pause); a.Pause > 0 && until.After(w.pausedUntil) {
		changed = changed || !w.pausedUntil.After(now)
		w.pausedUntil = until
		if until.After(b.lastPauseEnd) {
			b.lastPauseEnd = until
		}
	}
	return changed
}

// add adds a process and forgets those that have been silent for long.
func (b *Book) add(now time.Time, process string) *word {
	if b.processes == nil {
		b.processes = map[string]*word{}
	}
	if len(b.processes) >= maxProcesses {
		for name, w := range b.processes {
			if now.Sub(w.saidAt) > memory {
				delete(b.processes, name)
			}
		}
	}
	w := &word{}
	b.processes[process] = w
	return w
}

// AnyPaused reports whether any process wants no request now.
func (b *Book) AnyPaused(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastPauseEnd.After(now)
}

// LeavingSince returns when a process first said that it leaves, or the zero time.
func (b *Book) LeavingSince(process string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w := b.processes[process]; w != nil {
		return w.leavingSince
	}
	return time.Time{}
}

// PausedUntil returns until when a process wants no request, or the zero time if
// it may be sent some now.
func (b *Book) PausedUntil(now time.Time, process string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.lastPauseEnd.After(now) {
		return time.Time{}
	}
	if w := b.processes[process]; w != nil && w.pausedUntil.After(now) {
		return w.pausedUntil
	}
	return time.Time{}
}
