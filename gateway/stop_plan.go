package gateway

import "time"

const (
	// exitMargin is kept of the time to stop for the end of the process.
	exitMargin = 250 * time.Millisecond
	// rotationDivisor is the part of a short time to stop in which the VM leaves the
	// rotation: the rest is for requests under way.
	rotationDivisor = 2
	// refusalMargin before the end of a stop, requests that no runner has are
	// refused: their callers can still turn to another VM.
	refusalMargin = 700 * time.Millisecond
	// answerMargin before the end, requests of whose answers nothing was written are
	// answered in place of their runners. A small VM may have to answer many at once.
	answerMargin = 500 * time.Millisecond
	// resumableMargin before the end, streams that can go on elsewhere are broken
	// off, and abortMargin before it the others, which lose their rest.
	resumableMargin = 150 * time.Millisecond
	abortMargin     = 50 * time.Millisecond
	// usualFactor times the usual duration of a route's requests at a runner is how
	// long the next one is expected to take.
	usualFactor = 2
	// checkInterval is the time between two checks of requests that wait.
	checkInterval = 500 * time.Millisecond
)

// StopPlan holds the times of a planned stop. Its methods are pure.
type StopPlan struct {
	// LeftRotation is when the balancer sends no new connections any more.
	LeftRotation time.Time
	// End is when the connections of callers are closed.
	End time.Time
}

// NewStopPlan returns the plan of a stop that begins now: the balancer needs
// leaveRotation to send no more connections, and the process lives for timeToStop.
func NewStopPlan(now time.Time, leaveRotation, timeToStop time.Duration) StopPlan {
	rotation := min(leaveRotation, timeToStop/rotationDivisor)
	return StopPlan{LeftRotation: now.Add(rotation), End: now.Add(timeToStop - exitMargin)}
}

// requestPhase is how far a request has come.
type requestPhase int

const (
	// phaseUnsent: no runner was asked.
	phaseUnsent requestPhase = iota
	// phaseSent: a runner was asked, nothing was written to the caller.
	phaseSent
	// phaseBegun: part of the answer was written to the caller.
	phaseBegun
)

// stopSubject is what the decisions of a stop depend on.
type stopSubject struct {
	phase requestPhase
	// received is when the request arrived, deadline when it ends at the latest.
	received, deadline time.Time
	// usual is how long requests of this kind usually take at a runner, 0 if that is
	// not known.
	usual time.Duration
	// repeatable is true if another VM may execute the request too, or go on with
	// it. streaming is true if its answer is a stream.
	repeatable bool
	streaming  bool
}

// mayStart reports whether the request may be sent to a runner, for the first time
// or again. What certainly ends in time may, also if it may not be repeated.
// Deadlines count for new requests, not usual durations: those promise nothing
// about one request, and another VM can serve it at once. While the balancer sends
// requests here, streams and what may be repeated are taken too, since a refusal
// of each would cost more than the few that do not end in time. Those that wait
// longer, for their stages, have spent time that a refusal would lose: they may
// still be sent while the usual duration leaves enough time.
func (p *StopPlan) mayStart(now time.Time, s *stopSubject) bool {
	switch {
	case !now.Before(p.End.Add(-refusalMargin)):
		return false
	case !s.deadline.After(p.End.Add(-answerMargin)):
		return true
	case now.Before(p.LeftRotation):
		return s.repeatable || s.streaming
	case s.phase == phaseBegun:
		return s.repeatable
	}
	taken := s.received.Before(p.LeftRotation) && (s.repeatable || s.streaming)
	return taken && !now.Add(usualFactor*s.usual).After(p.End.Add(-answerMargin))
}

// mustEnd reports whether the request must not go on.
func (p *StopPlan) mustEnd(now time.Time, s *stopSubject) bool {
	margin := abortMargin
	switch {
	case s.phase == phaseUnsent:
		return !p.mayStart(now, s)
	case s.phase == phaseSent:
		margin = answerMargin
	case s.repeatable:
		margin = resumableMargin
	}
	return !now.Before(p.End.Add(-margin))
}

// mayAssemble reports whether this VM may run pieces for another VM that are of
// use for the time left.
func (p *StopPlan) mayAssemble(now time.Time, left time.Duration) bool {
	return now.Before(p.LeftRotation) || now.Add(left).Before(p.End.Add(-refusalMargin))
}

// checkTimes returns the times at which mustEnd changes for requests that wait.
func (p *StopPlan) checkTimes() []time.Time {
	var times []time.Time
	for at := p.LeftRotation; at.Before(p.End); at = at.Add(checkInterval) {
		times = append(times, at)
	}
	for _, margin := range []time.Duration{refusalMargin, answerMargin, resumableMargin, abortMargin} {
		times = append(times, p.End.Add(-margin))
	}
	return times
}
