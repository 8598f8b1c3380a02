package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/exchange"
	"damaskbridge.example/damaskbridge/execution"
	"damaskbridge.example/damaskbridge/placement"
)

// streamReadBytes is the buffer size for reading a stream.
const streamReadBytes = 8 << 10

var (
	errPartialEvent = errors.New("the stream ended inside an event")
	// errNoEvent is returned for a stream that only the end of its connection ends,
	// before its first event: a runner that stops after its head leaves the same. A
	// caller that resumes a stream may have all of its events.
	errNoEvent = errors.New("the stream's connection ended before the first event")
)

// eventStream is the state of a streamed answer to the caller.
type eventStream struct {
	splitter eventSplitter
	writer   EventWriter

	// mu guards the request and the fields below against the stall timer and a
	// standby. It is held neither while the stream is read nor while the caller is
	// written to: another runner may have to take over meanwhile.
	mu sync.Mutex
	// writing is true while events are written to the caller.
	writing bool
	// leg is the leg that is being relayed, nil between two legs and at the end.
	leg        *streamLeg
	progressAt time.Time
	stallTimer *time.Timer
	// standby prepares the next leg, nil while nothing does. last is the newest
	// standby, also one that was abandoned: the next one continues from its counts
	// of runners and resumes.
	standby *standby
	last    *standby
}

// streamLeg is the part of a streamed answer that one runner makes.
type streamLeg struct {
	runner   *placement.RunnerState
	response *Response
	// ctx ends when the exchange with the runner is to end; stop ends it.
	ctx  context.Context
	stop context.CancelCauseFunc
	// prefillDone is to be called at the first event and at the end.
	prefillDone func()
	// inputsGone reports that the inputs were freed after the request was sent.
	inputsGone bool
}

// close ends the exchange with the runner.
func (l *streamLeg) close() {
	_ = l.response.Body.Close()
	l.stop(nil)
	l.prefillDone()
}

// attemptStream sends the request and relays the events. If the stream breaks
// after the caller received the first event, it is resumed at another runner
// where the route allows that, and aborted otherwise.
func (r *request) attemptStream(ctx context.Context, runner *placement.RunnerState) attemptResult {
	s := &eventStream{}
	s.splitter.account = r.g.opts.Memory.NewAccount(buffers.Events, freeEventBytes)
	if r.call.ResumeAfter != "" {
		s.splitter.resumeAfter(r.call.ResumeAfter)
	}
	leg, n := r.openLeg(ctx, runner, legStart{position: s.splitter.position()})
	if leg == nil {
		return n.attemptResult
	}
	if leg.response.Status/100 != 2 {
		defer leg.close()
		return r.relayBuffered(ctx, runner, leg.response)
	}
	r.executions++
	return r.relayLegs(ctx, s, leg)
}

// relayLegs relays the events of one leg after the other until the stream is
// complete or cannot be resumed.
func (r *request) relayLegs(ctx context.Context, s *eventStream, leg *streamLeg) attemptResult {
	defer s.end()
	for {
		err := r.relayLeg(ctx, s, leg)
		n := r.finishLeg(leg, err)
		if err == nil {
			return attemptResult{done: true}
		}
		var gone *callerGoneError
		if errors.As(err, &gone) {
			r.lastCause = err.Error()
			return r.abort(ctx, s)
		}
		if s.writer == nil {
			r.executions-- // run counts this execution
			return n.attemptResult
		}
		r.lastCause = n.cause
		r.logAttempt(leg.runner, &n.attemptResult, time.Now())
		r.tried = append(r.tried, leg.runner)
		previous := leg
		if leg = r.nextLeg(ctx, s); leg == nil {
			return r.abort(ctx, s)
		}
		r.g.metrics.overlap.Update(previous.response.record.overlapWith(leg.response.record).Seconds())
		r.runner = leg.runner.ID
		r.g.metrics.resumes.Inc()
		s.splitter.beginResumedLeg()
	}
}

// abort ends a stream whose rest cannot be had.
func (r *request) abort(ctx context.Context, s *eventStream) attemptResult {
	r.broken = true
	if isStopped(ctx) {
		r.stopped = stopAborted
	}
	s.writer.Abort()
	return attemptResult{done: true}
}

// legStart is how a leg begins.
type legStart struct {
	// position is the ID of the event after which the stream goes on, "" for its
	// beginning.
	position string
	// room names what the runner keeps for the request, "" for nothing.
	room string
	// keepInputs keeps the inputs until the runner has answered. A runner that finds
	// them freed too early refuses the request.
	keepInputs bool
	// onSent, if not nil, is called once the request was sent.
	onSent func()
}

// openLeg sends the request to a runner. It returns a nil leg if the request failed or
// the runner did not execute it.
func (r *request) openLeg(ctx context.Context, runner *placement.RunnerState, start legStart) (*streamLeg, sendResult) {
	leg := &streamLeg{runner: runner, prefillDone: func() {}}
	if r.service.Engine != nil {
		leg.prefillDone = sync.OnceFunc(func() { r.g.runners.prefillDone(runner, r.call.Prompt.Tokens) })
	}
	now := time.Now()
	d := r.newDispatch(runner, now)
	if start.position != "" {
		d.ResumeAfter = start.position
	}
	d.Reservation = start.room
	var release *inputRelease
	if !start.keepInputs {
		release = r.prepareInputRelease(runner, now)
	}
	d.OnSent = func() {
		if release != nil {
			release.start()
		}
		if start.onSent != nil {
			start.onSent()
		}
	}
	leg.ctx, leg.stop = context.WithCancelCause(ctx)
	response, n := r.send(leg.ctx, runner, d)
	r.finishInputRelease(release, response != nil, &n)
	if response == nil {
		leg.stop(nil)
		leg.prefillDone()
		r.g.runners.finish(runner, n.record)
		return nil, n
	}
	leg.response, leg.inputsGone = response, n.inputsGone
	return leg, n
}

// finishLeg ends the exchange with the runner and records how it went. It
// classifies a leg that failed with err.
func (r *request) finishLeg(leg *streamLeg, err error) sendResult {
	defer leg.close()
	_ = leg.response.Body.Close()
	var gone *callerGoneError
	switch {
	case err == nil:
		r.g.runners.finish(leg.runner, (*placement.RunnerState).RecordSuccess)
		r.observe(leg.runner, leg.response.record, endFinding(leg.response))
		return sendResult{}
	case errors.As(err, &gone):
		r.g.runners.finish(leg.runner, nil)
		return sendResult{}
	}
	leg.response.record.conclude(r.g.metrics, execution.Damaged)
	n := r.failedSend(leg.ctx, leg.runner, leg.response.record, &exchange.Error{Addr: leg.runner.Addr, Sent: true, ResponseStarted: true, Err: err})
	n.inputsGone = leg.inputsGone
	r.g.runners.finish(leg.runner, n.record)
	return n
}

// callerGoneError is a failure to write to the caller.
type callerGoneError struct{ err error }

func (e *callerGoneError) Error() string {
	return "the caller's connection does not take the answer: " + e.err.Error()
}

// relayLeg relays events until the runner's answer ends or another runner takes
// over.
func (r *request) relayLeg(ctx context.Context, s *eventStream, leg *streamLeg) error {
	r.beginLeg(ctx, s, leg)
	defer s.endLeg()
	var progress streamProgress
	buffer := make([]byte, streamReadBytes)
	for {
		n, err := leg.response.Body.Read(buffer)
		if relayErr := r.relayBytes(s, leg, buffer[:n], &progress); relayErr != nil {
			return relayErr
		}
		if errors.Is(err, io.EOF) {
			return r.finishEvents(leg.response, s)
		}
		if err != nil {
			if cause := context.Cause(leg.ctx); errors.Is(cause, errTakenOver) {
				return cause
			}
			return err
		}
	}
}

// relayBytes relays the events that the bytes complete.
func (r *request) relayBytes(s *eventStream, leg *streamLeg, b []byte, progress *streamProgress) error {
	events, progressed, splitErr := s.splitNext(b)
	if progressed {
		leg.prefillDone()
		r.freeInputs()
		if progress.event(time.Now()) {
			r.observe(leg.runner, leg.response.record, foundGoingOn)
		}
	}
	if len(events) > 0 {
		if !r.open.enter(phaseBegun) {
			return errVMStops
		}
		if err := r.writeEvents(leg.response, s, events); err != nil {
			return &callerGoneError{err}
		}
	}
	s.endWrite(progressed, r.stallTimeout())
	return splitErr
}

// splitNext returns the events that the bytes complete, which are to be written until
// endWrite. If they are progress, no standby is needed.
func (s *eventStream) splitNext(b []byte) (events []byte, progressed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events, progressed, err = s.splitter.push(b)
	if progressed {
		s.abandonStandby()
	}
	s.writing = len(events) > 0
	return events, progressed, err
}

// endWrite lets the stall timer run again after events were written.
func (s *eventStream) endWrite(progressed bool, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = false
	if progressed {
		s.recordProgress(timeout)
	}
}

// finishEvents returns an error if the stream is not complete.
func (r *request) finishEvents(response *Response, s *eventStream) error {
	if err := s.splitter.checkEnd(); err != nil {
		return err
	}
	if s.writer != nil {
		return nil
	}
	if response.EndsWithConnection && r.call.ResumeAfter == "" {
		return errNoEvent
	}
	// A stream without any event is complete too, and the caller needs its
	// headers.
	return r.writeEvents(response, s, s.splitter.takePreamble())
}

func (r *request) writeEvents(response *Response, s *eventStream, events []byte) error {
	if s.writer == nil {
		r.firstByteAt = time.Now()
		if !r.stagesDoneAt.IsZero() {
			r.g.firstEvents.observe(r.route.Name, r.firstByteAt.Sub(r.stagesDoneAt))
		}
		r.status = response.Status
		r.g.metrics.recordAnswer(response.Status)
		r.g.metrics.recordFirstByte(r.call.Received)
		writer, err := r.responder.Stream(response.Status, response.Header)
		if err != nil {
			return err
		}
		s.writer = writer
	}
	return s.writer.Write(events)
}
