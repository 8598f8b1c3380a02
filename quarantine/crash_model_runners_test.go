package quarantine

import (
	"fmt"
	"time"
)

// modelProcess is one process of a runner.
type modelProcess struct {
	name      string
	number    int
	startedAt time.Time
}

func (p *modelProcess) processName() string { return fmt.Sprint(p.name, " ", p.number) }

// modelRunner is a runner at one address.
type modelRunner struct {
	// processes are all that ever ran. The last one runs, unless backAt is set.
	processes []modelProcess
	// backAt is when the next process starts, and keepsID whether it has the ID of the
	// one before.
	backAt  time.Time
	keepsID bool
}

func (r *modelRunner) current() *modelProcess { return &r.processes[len(r.processes)-1] }

func (r *modelRunner) isUp() bool { return r.backAt.IsZero() }

// shownAt returns the process that the platform's list showed at a time.
func (r *modelRunner) shownAt(t time.Time) *modelProcess {
	for n := len(r.processes) - 1; n > 0; n-- {
		if !r.processes[n].startedAt.After(t.Add(-modelLag)) {
			return &r.processes[n]
		}
	}
	return &r.processes[0]
}

func (r *modelRunner) startIfDue(now time.Time) {
	if r.isUp() || now.Before(r.backAt) {
		return
	}
	next := modelProcess{name: r.current().name, number: r.current().number + 1, startedAt: now}
	if !r.keepsID {
		next = modelProcess{name: r.current().name + "'", startedAt: now}
	}
	r.processes, r.backAt = append(r.processes, next), time.Time{}
}
