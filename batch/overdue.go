package batch

import (
	"time"
)

const (
	// A call that takes overdueFactor times its expected time and overdueGrace
	// is at a runner that is slow, or silent.
	overdueFactor = 1.7
	overdueGrace  = 150 * time.Millisecond
)

// repeatOverdue queues the items of overdue calls again. Whichever result comes
// first is used: pieces may be made again, and a silent runner would hold its
// items until the call is given up.
func (a *Assembler) repeatOverdue(now time.Time) {
	for _, o := range a.open {
		if o.overdue || now.Before(o.overdueAt) {
			continue
		}
		o.overdue = true
		if w := a.workers[o.Runner]; w != nil && w.ID == o.RunnerID {
			w.avoidUntil = later(w.avoidUntil, now.Add(firstAvoid))
		}
		for _, i := range o.Items {
			if a.instances[i.Ref] == 1 && i.tries < maxTries {
				a.enqueue(i)
			}
		}
	}
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
