package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxCrashes bounds the lost runners that one VM remembers, maxLostParts the parts
	// of the requests that were lost with them, all runners together.
	maxCrashes   = 32
	maxLostParts = 32768
)

// Evidence collects what one entry VM observes. It is safe for concurrent use.
type Evidence struct {
	mu sync.Mutex
	// crashes are the runners lost within the window, in the order of their first
	// loss.
	crashes []lostRunner
	// answered holds when a request with a part was last answered completely.
	answered answerTimes
	// contested holds the parts that were quarantined although this VM has had an
	// answer with them. It goes on to report them: otherwise they would be
	// quarantined again for the same crashes.
	contested map[Part]bool
	// claimed holds the number of the last trial that a request has claimed, for
	// each quarantined part.
	claimed map[Part]uint32
}

// lostRunner is a runner that was lost, with the parts of the requests that were
// in flight there.
type lostRunner struct {
	runner string
	// at is when the newest of these requests was lost.
	at    time.Time
	parts map[Part]bool
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence {
	return &Evidence{answered: newAnswerTimes(), contested: map[Part]bool{}, claimed: map[Part]uint32{}}
}

// RecordAnswer records the complete answer to a request with these parts.
func (e *Evidence) RecordAnswer(now time.Time, parts []Part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range parts {
		e.answered.record(now, p)
	}
}

// RecordLoss records a request with these parts that was lost with the runner.
// The name of the runner differs for each of its starts.
func (e *Evidence) RecordLoss(now time.Time, runner string, parts []Part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	parts = e.withoutAnswered(now, parts)
	if len(parts) == 0 {
		return
	}
	e.forgetCrashes(now)
	i := slices.IndexFunc(e.crashes, func(c lostRunner) bool { return c.runner == runner })
	if i < 0 {
		if len(e.crashes) == maxCrashes {
			e.crashes = slices.Delete(e.crashes, 0, 1)
		}
		i = len(e.crashes)
		e.crashes = append(e.crashes, lostRunner{runner: runner, parts: map[Part]bool{}})
	}
	e.crashes[i].at = now
	e.crashes[i].add(parts)
	e.forgetOldest()
}

// add adds parts, up to maxLostParts. Any of them may be the one that ends runners.
func (c *lostRunner) add(parts []Part) {
	for _, p := range parts {
		if len(c.parts) == maxLostParts {
			return
		}
		c.parts[p] = true
	}
}

// forgetOldest forgets the runners that were lost first while all together have more than
// maxLostParts parts. It keeps the last one.
func (e *Evidence) forgetOldest() {
	total := 0
	for _, c := range e.crashes {
		total += len(c.parts)
	}
	for total > maxLostParts && len(e.crashes) > 1 {
		total -= len(e.crashes[0].parts)
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
}

// RecordAlive records that a runner answered, in whatever way, a request that was
// sent at the given time. If requests were lost with it before, it had only broken
// off their answers.
func (e *Evidence) RecordAlive(runner string, sentAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes = slices.DeleteFunc(e.crashes, func(c lostRunner) bool { return c.runner == runner && c.at.Before(sentAt) })
}

// withoutAnswered returns the parts without an answer within the window.
func (e *Evidence) withoutAnswered(now time.Time, parts []Part) []Part {
	return slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return e.answered.has(now, p) })
}

func (e *Evidence) forgetCrashes(now time.Time) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c lostRunner) bool { return now.Sub(c.at) > evidenceWindow })
}

// HasAnswer reports whether a request with the part was answered at this VM within
// the window. This VM then does not follow a quarantine of the part.
func (e *Evidence) HasAnswer(now time.Time, p Part) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answered.has(now, p)
}

// ClaimTrial reports whether a request may be the one of this VM's trial of a part.
// Only one request may.
func (e *Evidence) ClaimTrial(p Part, number uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.claimed[p] == number {
		return false
	}
	e.claimed[p] = number
	return true
}

// Report returns the report of this VM, to which the given parts are known as
// quarantined.
func (e *Evidence) Report(now time.Time, quarantined Known) *Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetCrashes(now)
	r := &Report{}
	for _, c := range e.crashes {
		if parts := e.withoutAnswered(now, slices.Sorted(maps.Keys(c.parts))); len(parts) > 0 {
			r.Crashes = append(r.Crashes, Crash{Runner: c.runner, Parts: parts})
		}
	}
	for p := range quarantined {
		e.contested[p] = true
	}
	r.Crashes = limitParts(r.Crashes)
	maps.DeleteFunc(e.contested, func(p Part, _ bool) bool { return !e.answered.has(now, p) })
	maps.DeleteFunc(e.claimed, func(p Part, _ uint32) bool { _, ok := quarantined[p]; return !ok })
	r.Answered = slices.Sorted(maps.Keys(e.contested))
	r.Quarantined = quarantined.WithoutTrials()
	return r
}
