package advice

import (
	"sync"
	"time"
)

const (
	// maxProcesses bounds the processes of runners that are remembered.
	maxProcesses = 4096
	// memory is how long a process is remembered after it last said something.
	// It is longer than a process goes on after it has said that it leaves.
	memory = 10 * time.Minute
)

// Book remembers what the processes of runners have said. The zero value is empty.
// It is safe for concurrent use.
type Book struct {
	mu        sync.Mutex
	processes map[string]*processState
	// lastPauseEnd is the end of the pause that ends last.
	lastPauseEnd time.Time
	// inherited is the number of processes whose leaving is inherited.
	inherited int
}

// processState is what one process has said.
type processState struct {
	leavingSince time.Time
	pausedUntil  time.Time
	saidAt       time.Time
	// inherited is true if the process before may have said that it leaves.
	inherited bool
}

// Record stores the advice of a process. changed reports whether the process may
// be sent less than before, isNew whether it might have been sent something: a
// longer pause during another one is no news.
func (b *Book) Record(now time.Time, process string, a Advice) (changed, isNew bool) {
	if a.IsZero() {
		return false, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.processes[process]
	if s == nil {
		s = b.add(now, process)
	}
	s.saidAt = now
	if a.Leaving {
		b.setInherited(s, false)
	}
	if a.Leaving && s.leavingSince.IsZero() {
		s.leavingSince = now
		changed, isNew = true, true
	}
	if until := now.Add(a.Pause); a.Pause > 0 && until.After(s.pausedUntil) {
		changed, isNew = true, isNew || !s.pausedUntil.After(now)
		s.pausedUntil = until
		if until.After(b.lastPauseEnd) {
			b.lastPauseEnd = until
		}
	}
	return changed, isNew
}

// Succeed records that the list of runners shows next as the process of a runner in
// place of previous. The list lags: what was said later than since may have been the
// word of next, and holds for it too.
func (b *Book) Succeed(now time.Time, previous, next string, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	said := b.processes[previous]
	if said == nil || !said.saidAt.After(since) || b.processes[next] != nil {
		return
	}
	s := b.add(now, next)
	s.leavingSince, s.pausedUntil, s.saidAt = said.leavingSince, said.pausedUntil, said.saidAt
	b.setInherited(s, !s.leavingSince.IsZero())
}

// HasInherited reports whether it is open for any process whether it has said itself
// that it leaves.
func (b *Book) HasInherited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inherited > 0
}

// RecordStaying records that the list of runners shows a process as one that does not
// leave, as of a time. If that is after the word that it leaves, this was the word of the
// process before.
func (b *Book) RecordStaying(process string, asOf time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.processes[process]
	if s == nil || !s.inherited || asOf.Before(s.saidAt) {
		return
	}
	s.leavingSince = time.Time{}
	b.setInherited(s, false)
}

// setInherited sets whether the leaving of a process is inherited. b.mu is held.
func (b *Book) setInherited(s *processState, inherited bool) {
	if s.inherited == inherited {
		return
	}
	s.inherited = inherited
	if inherited {
		b.inherited++
	} else {
		b.inherited--
	}
}

// add adds a process and forgets those that have been silent for long.
func (b *Book) add(now time.Time, process string) *processState {
	if b.processes == nil {
		b.processes = map[string]*processState{}
	}
	if len(b.processes) >= maxProcesses {
		for name, s := range b.processes {
			if now.Sub(s.saidAt) > memory {
				b.setInherited(s, false)
				delete(b.processes, name)
			}
		}
	}
	s := &processState{}
	b.processes[process] = s
	return s
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
	if s := b.processes[process]; s != nil {
		return s.leavingSince
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
	if s := b.processes[process]; s != nil && s.pausedUntil.After(now) {
		return s.pausedUntil
	}
	return time.Time{}
}
