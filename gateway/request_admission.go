package gateway

import (
	"math/rand/v2"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
)

// admit finds the route, the workspace and the service, and sets the deadlines.
func (r *request) admit() *Refusal {
	c := r.call
	r.table = r.g.state.Load().Table
	if r.table == nil && r.g.stopPlan.Load() != nil {
		return r.stopRefusal()
	}
	if r.table == nil {
		return &Refusal{Reason: NoCatalog, RetryAfter: shortRetryDelay()}
	}
	if r.route = r.table.Route(c.Host, c.Path); r.route == nil {
		return &Refusal{Reason: NoRoute, Detail: c.Host + c.Path}
	}
	if r.table.NeedsKeys() && c.Key != "" {
		r.workspace = r.table.WorkspaceOf(c.Key)
	}
	if r.table.NeedsKeys() && !r.route.Public && r.workspace == nil {
		return &Refusal{Reason: UnknownKey}
	}
	r.setDeadline()
	if !r.mayStart(time.Now()) {
		return r.stopRefusal()
	}
	if refusal := r.refuseQuarantined(time.Now()); refusal != nil {
		return refusal
	}
	r.service = r.table.Service(r.route.Pick(rand.Float64()))
	r.priorWait = r.g.callerTimeouts.priorWait(r.route.Name, c.Timeout)
	r.due = c.Received.Add(r.route.LatencyObjective - r.priorWait)
	return nil
}

// setDeadline sets the deadline, which is the earlier one of the route and the
// caller, and tells it to a stop.
func (r *request) setDeadline() {
	timeout := r.route.Timeout
	if r.call.Timeout > 0 {
		timeout = min(timeout, r.call.Timeout)
	}
	r.deadline = r.call.Received.Add(timeout)
	r.open.mu.Lock()
	defer r.open.mu.Unlock()
	s := &r.open.subject
	s.deadline, s.streaming = r.deadline, r.route.Streaming
	s.repeatable = r.route.RetryPolicy != catalog.RetryNever
	s.usual = r.g.durations.average(r.route.Name)
}

// isFirstAttempt reports whether this is probably the caller's first attempt.
func (r *request) isFirstAttempt() bool { return r.priorWait == 0 }

// Callers abandon a stream without any event after the longest of these times.
const (
	minFirstEventTimeout = 2 * time.Second
	objectiveFactor      = 4
	eventGapFactor       = 8
)

// firstEventDeadline returns when the caller of a stream without any event
// disconnects.
func (r *request) firstEventDeadline() time.Time {
	if !r.route.Streaming {
		return r.deadline
	}
	timeout := max(minFirstEventTimeout, objectiveFactor*r.route.LatencyObjective, eventGapFactor*r.route.MaxEventGap)
	if by := r.call.Received.Add(timeout); by.Before(r.deadline) {
		return by
	}
	return r.deadline
}
