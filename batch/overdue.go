package batch

import (
	"time"
)

const (
	// A call is overdue when it takes longer than its expected time multiplied
	// by overdueFactor plus overdueGrace; its runner is slow or not responding.
	overdueFactor = 1.7
	overdueGrace  = 150 * time.Millisecond
)

// requeueOverdue queues the items of overdue calls again and uses whichever
// result arrives first. Pieces may be computed more than once, and a runner that
// does not respond would otherwise hold its items until the call times out.
func (a *Assembler) requeueOverdue(now time.Time) {
	for _, call := range a.inFlight {
		if call.overdue || now.Before(call.overdueAt) {
			continue
		}
		call.overdue = true
		if rs := a.runners[call.Runner]; rs != nil && rs.ID == call.RunnerID {
			rs.backoffUntil = laterOf(rs.backoffUntil, now.Add(initialBackoff))
		}
		for _, item := range call.Items {
			if a.occurrences[item.Ref] == 1 && item.attempts < maxAttempts {
				a.enqueue(item)
			}
		}
	}
}

func laterOf(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
