package quarantine

import (
	"slices"
	"time"
)

const (
	// endedInterval is the time within which the answers of one process that have ended
	// with their connections are decided about together.
	endedInterval = 250 * time.Millisecond
	// maxEndedParts bounds the parts of the answers that are not decided yet.
	maxEndedParts = 32768
)

// endedAnswers are answers of one process of a runner that ended with their connections
// within endedInterval. If the process goes on, the runner has ended them itself, and
// their parts are answered. If it does not, its end may have cut them short.
type endedAnswers struct {
	runner, process string
	// firstAt and at are when the first and the last one ended.
	firstAt, at time.Time
	parts       map[Part]bool
	// answeredAt is when the runner first answered after that on a connection that was
	// opened after firstAt, zero if it has not.
	answeredAt time.Time
}

// RecordEnded records the answer to a request with these parts that ended in an orderly
// way with its connection, where nothing tells whether it was whole.
func (e *Evidence) RecordEnded(now time.Time, x Exchange, parts []Part) {
	if len(parts) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sharing.add(now, parts)
	i := slices.IndexFunc(e.ended, func(a endedAnswers) bool {
		return a.process == x.Process && a.answeredAt.IsZero() && now.Sub(a.firstAt) < endedInterval
	})
	if i < 0 {
		i = len(e.ended)
		e.ended = append(e.ended, endedAnswers{runner: x.Runner, process: x.Process, firstAt: now, parts: map[Part]bool{}})
	}
	e.ended[i].at = now
	for _, p := range parts {
		e.ended[i].parts[p] = true
	}
	e.forgetOldestEnded(now)
}

// forgetOldestEnded forgets answers that nothing has decided about for long, and the
// oldest ones while there are too many.
func (e *Evidence) forgetOldestEnded(now time.Time) {
	e.ended = slices.DeleteFunc(e.ended, func(a endedAnswers) bool { return now.Sub(a.at) > evidenceWindow })
	total := 0
	for i := range e.ended {
		total += len(e.ended[i].parts)
	}
	for total > maxEndedParts && len(e.ended) > 1 {
		total -= len(e.ended[0].parts)
		e.ended = slices.Delete(e.ended, 0, 1)
	}
}

// aliveAfterEnded applies an answer of a runner to the answers that ended before. On a
// connection that is older than all of them it shows that their process goes on.
func (e *Evidence) aliveAfterEnded(now time.Time, x Exchange) {
	e.ended = slices.DeleteFunc(e.ended, func(a endedAnswers) bool {
		if a.runner != x.Runner || !a.at.Before(x.SentAt) || x.ConnectedAt.After(a.firstAt) {
			return false
		}
		e.recordEndedParts(&a)
		return true
	})
	for i := range e.ended {
		if a := &e.ended[i]; a.runner == x.Runner && a.at.Before(x.SentAt) && a.answeredAt.IsZero() {
			a.answeredAt = now
		}
	}
}

// settleEnded applies what the list shows. Answers of a process that was still there
// when the runner answered later were whole; of those of a process that has ended, or
// that the list does not tell from the next one, it is not known.
func (e *Evidence) settleEnded(runners Runners) {
	e.ended = slices.DeleteFunc(e.ended, func(a endedAnswers) bool {
		shown, asked := runners[a.runner]
		if !asked {
			return false
		}
		if a.process != shown.Process || shown.AsOf.IsZero() {
			return true
		}
		if a.answeredAt.IsZero() || shown.AsOf.Before(a.answeredAt) {
			return false
		}
		e.recordEndedParts(&a)
		return true
	})
}

func (e *Evidence) recordEndedParts(a *endedAnswers) {
	for p := range a.parts {
		e.answered.record(a.at, p)
	}
}
