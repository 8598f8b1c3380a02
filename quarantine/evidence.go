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
	// probeDelay is how long a runner that may have crashed is left alone.
	probeDelay = 300 * time.Millisecond
	// withdrawalTime is how long a VM reports that a process goes on which it has taken
	// for lost. It covers a change of the control VM and of the leader.
	withdrawalTime = 15 * time.Second
)

// Evidence collects what one entry VM observes. It is safe for concurrent use.
type Evidence struct {
	maxDoubt time.Duration

	mu sync.Mutex
	// lost are the processes of runners lost within the window, in the order of their
	// first loss. At most two of a runner are not settled: a second one stands for all
	// losses on connections that are newer than the first loss.
	lost []lostProcess
	// withdrawn holds when it turned out that processes go on that were taken for lost.
	withdrawn map[string]time.Time
	// ended are the answers of which it is not decided yet whether they were whole, in
	// the order of their first ones.
	ended []endedAnswers
	// answered holds when a request with a part was last answered completely.
	answered answerTimes
	// sharing counts the requests with each part, whatever became of them.
	sharing sharingCounts
	// contested holds the parts that were quarantined although this VM has had an
	// answer with them. It goes on to report them: otherwise they would be
	// quarantined again for the same crashes.
	contested map[Part]bool
	// claimed holds the number of the last trial that a request has claimed, for
	// each quarantined part.
	claimed map[Part]uint32
}

// NewEvidence returns empty evidence. maxDoubt is how long the list of runners takes to
// show this VM whether a runner that was lost has started again.
func NewEvidence(maxDoubt time.Duration) *Evidence {
	return &Evidence{maxDoubt: maxDoubt, answered: newAnswerTimes(), contested: map[Part]bool{}, withdrawn: map[string]time.Time{}, claimed: map[Part]uint32{}}
}

// RecordAnswer records the complete answer to a request with these parts.
func (e *Evidence) RecordAnswer(now time.Time, parts []Part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sharing.add(now, parts)
	for _, p := range parts {
		e.answered.record(now, p)
	}
}

// RecordLoss records a request with these parts that was lost with the runner.
func (e *Evidence) RecordLoss(now time.Time, x Exchange, parts []Part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sharing.add(now, parts)
	parts = e.withoutAnswered(now, parts)
	if len(parts) == 0 {
		return
	}
	e.forgetCrashes(now)
	l := e.lostProcessOf(now, x)
	l.at, l.answeredAt = now, time.Time{}
	delete(e.withdrawn, l.process)
	l.add(parts)
	e.forgetOldest()
}

// lostProcessOf returns the process with which a request was lost. A connection that
// is older than a loss ended with the same process; one that was opened after it may
// have led to a new process.
func (e *Evidence) lostProcessOf(now time.Time, x Exchange) *lostProcess {
	unsettled := 0
	for i := range e.lost {
		l := &e.lost[i]
		if l.runner != x.Runner {
			continue
		}
		if !l.settled {
			unsettled++
		}
		if !x.ConnectedAt.After(l.firstAt) || unsettled > 1 {
			return l
		}
	}
	if len(e.lost) == maxCrashes {
		e.lost = slices.Delete(e.lost, 0, 1)
	}
	e.lost = append(e.lost, lostProcess{runner: x.Runner, process: x.Process, firstAt: now, parts: map[Part]bool{}})
	return &e.lost[len(e.lost)-1]
}

// forgetOldest forgets the processes that were lost first while all together have more
// than maxLostParts parts. It keeps the last one.
func (e *Evidence) forgetOldest() {
	total := 0
	for i := range e.lost {
		total += len(e.lost[i].parts)
	}
	for total > maxLostParts && len(e.lost) > 1 {
		total -= len(e.lost[0].parts)
		e.lost = slices.Delete(e.lost, 0, 1)
	}
}

// RecordAlive records that a runner answered, in whatever way. On a connection that is
// older than a loss, to a request that was sent after it, that shows that the process
// had only broken off answers. On a newer connection a new process may have answered.
func (e *Evidence) RecordAlive(now time.Time, x Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = slices.DeleteFunc(e.lost, func(l lostProcess) bool {
		goesOn := l.runner == x.Runner && !l.settled && l.at.Before(x.SentAt) && !x.ConnectedAt.After(l.firstAt)
		if goesOn {
			e.withdrawn[l.process] = now
		}
		return goesOn
	})
	for i := range e.lost {
		if l := &e.lost[i]; l.runner == x.Runner && !l.settled && l.at.Before(x.SentAt) && l.answeredAt.IsZero() {
			l.answeredAt = now
		}
	}
	e.aliveAfterEnded(now, x)
}

// UnsettledRunners returns the runners of which the list is to show whether they have
// started again since requests were lost with them, or answers ended with their
// connections.
func (e *Evidence) UnsettledRunners() Runners {
	e.mu.Lock()
	defer e.mu.Unlock()
	runners := Runners{}
	for i := range e.lost {
		if l := &e.lost[i]; !l.settled {
			runners[l.runner] = Listed{}
		}
	}
	for i := range e.ended {
		runners[e.ended[i].runner] = Listed{}
	}
	return runners
}

// RunnersToProbe returns the runners that have lost requests with a quarantined part, or
// ended answers to some with their connections, and have not answered for a while since.
func (e *Evidence) RunnersToProbe(now time.Time, quarantined Known) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	runners := map[string]bool{}
	probe := func(runner string, at, answeredAt time.Time, parts map[Part]bool) {
		if answeredAt.IsZero() && now.Sub(at) >= probeDelay && quarantined.hasAny(parts) {
			runners[runner] = true
		}
	}
	for i := range e.lost {
		if l := &e.lost[i]; !l.settled {
			probe(l.runner, l.at, l.answeredAt, l.parts)
		}
	}
	for i := range e.ended {
		a := &e.ended[i]
		probe(a.runner, a.at, a.answeredAt, a.parts)
	}
	return slices.Sorted(maps.Keys(runners))
}

// Runners holds what the list shows, by the names of runners.
type Runners map[string]Listed

// Listed is what the list of runners shows of a runner.
type Listed struct {
	// Process names the process, "" if the runner is not listed.
	Process string
	// AsOf is a time at which the process was the runner's newest one, zero if the
	// list does not tell processes of the runner apart.
	AsOf time.Time
}

// RecordListed records what the list shows of the runners of UnsettledRunners. It returns
// how many losses turn out to be crashes, and how many to be broken connections of
// processes that go on.
func (e *Evidence) RecordListed(now time.Time, runners Runners) (crashes, broken int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = slices.DeleteFunc(e.lost, func(l lostProcess) bool {
		shown, asked := runners[l.runner]
		if l.settled || !asked || l.process != shown.Process || l.answeredAt.IsZero() || shown.AsOf.Before(l.answeredAt) {
			return false
		}
		e.withdrawn[l.process] = now
		broken++
		return true
	})
	e.settleEnded(runners)
	// The first unsettled loss of a runner is that of the process that the list showed
	// before; a second one is that of a later process.
	followed := map[string]bool{}
	for i := range e.lost {
		l := &e.lost[i]
		shown, asked := runners[l.runner]
		if l.settled || !asked {
			continue
		}
		switch {
		case l.process == shown.Process:
		case followed[l.runner] && shown.Process != "":
			l.process = shown.Process
		default:
			l.settled = true
			crashes++
		}
		followed[l.runner] = true
	}
	return crashes, broken
}

// withoutAnswered returns the parts without an answer within the window.
func (e *Evidence) withoutAnswered(now time.Time, parts []Part) []Part {
	return slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return e.answered.has(now, p) })
}

func (e *Evidence) forgetCrashes(now time.Time) {
	e.lost = slices.DeleteFunc(e.lost, func(l lostProcess) bool { return now.Sub(l.at) > evidenceWindow })
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

// ReleaseTrial gives back a trial that this VM has claimed and that no runner has got.
// Another request may claim it.
func (e *Evidence) ReleaseTrial(p Part, number uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.claimed[p] == number {
		delete(e.claimed, p)
	}
}

// Report returns the report of this VM, to which the given parts are known as
// quarantined.
func (e *Evidence) Report(now time.Time, quarantined Known) *Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetCrashes(now)
	r := &Report{}
	r.Crashes = limitParts(e.crashes(now))
	for i := range r.Crashes {
		for _, p := range r.Crashes[i].Parts {
			r.Crashes[i].Sharing = append(r.Crashes[i].Sharing, e.sharing.magnitude(p))
		}
	}
	for p := range quarantined {
		e.contested[p] = true
	}
	maps.DeleteFunc(e.contested, func(p Part, _ bool) bool { return !e.answered.has(now, p) })
	maps.DeleteFunc(e.claimed, func(p Part, _ uint32) bool { _, ok := quarantined[p]; return !ok })
	maps.DeleteFunc(e.withdrawn, func(_ string, at time.Time) bool { return now.Sub(at) > withdrawalTime })
	if len(quarantined) > 0 {
		r.Withdrawn = slices.Sorted(maps.Keys(e.withdrawn))
	}
	r.Answered = slices.Sorted(maps.Keys(e.contested))
	r.Quarantined = quarantined.WithoutTrials()
	return r
}

// crashes returns the losses that may be crashes, one for each process.
func (e *Evidence) crashes(now time.Time) []Crash {
	var list []Crash
	for i := range e.lost {
		l := &e.lost[i]
		parts := e.withoutAnswered(now, slices.Sorted(maps.Keys(l.parts)))
		if len(parts) == 0 {
			continue
		}
		doubtful := l.isDoubtful(now, e.maxDoubt)
		if known := slices.IndexFunc(list, func(c Crash) bool { return c.Runner == l.process }); known >= 0 {
			parts = append(list[known].Parts, parts...)
			slices.Sort(parts)
			list[known].Parts = slices.Compact(parts)
			list[known].Doubtful = list[known].Doubtful && doubtful
			continue
		}
		list = append(list, Crash{Runner: l.process, Parts: parts, Doubtful: doubtful})
	}
	return list
}
