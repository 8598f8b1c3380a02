package entry

import "time"

const (
	// maxDrainStep is the time for each of the last steps of a drain: running
	// requests end, the rest is answered, connections close, and records are sent.
	maxDrainStep = time.Second
	// drainStepDivisor is the part of a short drain that each of them takes.
	drainStepDivisor = 8
)

// drainPlan holds the times of a drain. Its methods are pure.
type drainPlan struct {
	// listenerCloses is when new connections are no longer taken.
	listenerCloses time.Time
	// requestsEnd is when executions that still run are cancelled, answersEnd when
	// what has no answer then is answered without waiting for its execution.
	requestsEnd time.Time
	answersEnd  time.Time
	// connsClose is when connections are closed, end when the drain is over.
	connsClose time.Time
	end        time.Time
}

// newDrainPlan returns the plan of a drain that begins now, with the durations of
// Options.
func newDrainPlan(now time.Time, delay, timeout time.Duration) drainPlan {
	step := min(maxDrainStep, timeout/drainStepDivisor)
	end := now.Add(delay + timeout)
	return drainPlan{
		listenerCloses: now.Add(delay),
		requestsEnd:    end.Add(-3 * step), answersEnd: end.Add(-2 * step), connsClose: end.Add(-step), end: end,
	}
}

// mayBegin reports whether a request may begin that ends at its deadline at the
// latest. While the load balancer still sends requests here, those that may be
// repeated are taken even if they may be cancelled.
func (p *drainPlan) mayBegin(now, deadline time.Time, repeatable bool) bool {
	return !deadline.After(p.requestsEnd) || repeatable && now.Before(p.listenerCloses)
}
