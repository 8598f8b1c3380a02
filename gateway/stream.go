package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/exchange"
	"damaskbridge.example/damaskbridge/placement"
)

const (
	// streamReadBytes is the buffer size for reading a stream.
	streamReadBytes = 8 << 10
	// stallTimeoutFactor times the route's MaxEventGap is how long a resumable
	// stream waits for its next event before it is resumed at another runner.
	stallTimeoutFactor = 3
	// maxResumes limits how often one stream is resumed.
	maxResumes = 2
)

var (
	errPartialEvent = errors.New("the stream ended inside an event")
	errStalled      = errors.New("no event arrived before the stall timeout")
)

// eventStream is the state of a streamed answer to the caller.
type eventStream struct {
	splitter eventSplitter
	writer   EventWriter
}

// attemptStream sends the request and relays the events. If the stream breaks
// after the caller received the first event, it is resumed at another runner
// where the route allows that, and aborted otherwise.
func (r *request) attemptStream(ctx context.Context, runner *placement.RunnerState) attemptResult {
	s := &eventStream{}
	if r.call.ResumeAfter != "" {
		s.splitter.resumeAfter(r.call.ResumeAfter)
	}
	for {
		v := r.streamFrom(ctx, runner, s)
		if v.done || s.writer == nil {
			return v
		}
		if v.executed && !v.counted {
			r.executions++
		}
		r.lastCause = v.cause
		r.logAttempt(runner, &v, time.Now())
		r.tried = append(r.tried, runner)
		next := r.pickResumeRunner(ctx, &v)
		if next == nil {
			r.broken = true
			s.writer.Abort()
			return attemptResult{done: true}
		}
		runner = next
		r.runner = next.ID
		r.resumes++
		r.g.metrics.resumes.Inc()
	}
}

// pickResumeRunner chooses the runner at which a broken stream is resumed. It
// returns nil if the stream cannot be resumed or is not allowed to be.
func (r *request) pickResumeRunner(ctx context.Context, v *attemptResult) *placement.RunnerState {
	now := time.Now()
	if r.route.RetryPolicy != catalog.RetryFromEvent || ctx.Err() != nil || r.resumes >= maxResumes {
		return nil
	}
	if r.executions >= r.route.MaxRunners || r.deadline.Sub(now) < minTimeLeft || r.refuseQuarantined(now) != nil {
		return nil
	}
	if !r.g.budgets.forService(r.service.Name).TrySpend(now) {
		return nil
	}
	if r.stages != nil {
		// The results were freed at the first event, so that they do not occupy
		// memory for the duration of the stream.
		if refusal := r.rerunStages(ctx); refusal != nil {
			return nil
		}
	}
	r.sends++
	return r.pickRunner(now)
}

// streamFrom relays the events of one runner. The result is done if the stream
// is complete.
func (r *request) streamFrom(ctx context.Context, runner *placement.RunnerState, s *eventStream) attemptResult {
	prefilling := true
	onFirstEvent := func() {
		if prefilling {
			prefilling = false
			r.g.runners.prefillDone(runner, r.call.Prompt.Tokens)
		}
	}
	if r.service.Engine != nil {
		defer onFirstEvent()
	}
	d := r.newDispatch(runner, time.Now())
	if s.splitter.lastID != "" {
		d.ResumeAfter = s.splitter.lastID
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	release := r.prepareInputRelease(runner, time.Now())
	if release != nil {
		d.OnSent = release.start
	}
	response, n := r.send(ctx, runner, d)
	r.finishInputRelease(release, response != nil, &n)
	inputsGone := n.inputsGone
	if response == nil {
		r.g.runners.finish(runner, n.record)
		return n.attemptResult
	}
	if response.Status/100 != 2 {
		if s.writer != nil {
			_ = response.Body.Close()
			r.g.runners.finish(runner, nil)
			return attemptResult{executed: true, arrived: true, cause: "status_" + http.StatusText(response.Status)}
		}
		return r.relayBuffered(ctx, runner, response)
	}
	r.executions++
	err := r.copyEvents(ctx, cancel, response, s, onFirstEvent)
	_ = response.Body.Close()
	if err == nil {
		r.g.runners.finish(runner, (*placement.RunnerState).RecordSuccess)
		r.recordAnswer(response)
		return attemptResult{done: true}
	}
	if s.writer == nil {
		// run counts this execution.
		r.executions--
	}
	var gone *callerGoneError
	if errors.As(err, &gone) {
		r.g.runners.finish(runner, nil)
		r.broken, r.lastCause = true, err.Error()
		s.writer.Abort()
		return attemptResult{done: true}
	}
	n = r.failedSend(ctx, runner, &exchange.Error{Addr: runner.Addr, Sent: true, ResponseStarted: true, Err: err})
	n.inputsGone = inputsGone
	n.counted = s.writer != nil
	r.g.runners.finish(runner, n.record)
	return n.attemptResult
}

// callerGoneError is a failure to write to the caller.
type callerGoneError struct{ err error }

func (e *callerGoneError) Error() string {
	return "the caller's connection does not take the answer: " + e.err.Error()
}

// copyEvents relays events until the runner's answer ends.
func (r *request) copyEvents(ctx context.Context, cancel context.CancelCauseFunc, response *Response, s *eventStream, onFirstEvent func()) error {
	s.splitter.dropPartial()
	stallTimer := r.newStallTimer(cancel, s)
	defer stallTimer.Stop()
	var progress streamProgress
	buffer := make([]byte, streamReadBytes)
	for {
		n, err := response.Body.Read(buffer)
		events, progressed, splitErr := s.splitter.push(buffer[:n])
		if progressed {
			onFirstEvent()
			r.freeInputs()
			stallTimer.Stop()
			if now := time.Now(); progress.event(now) {
				r.g.evidence.RecordAnswer(now, r.sharedParts())
			}
		}
		if len(events) > 0 {
			if writeErr := r.writeEvents(response, s, events); writeErr != nil {
				return &callerGoneError{writeErr}
			}
		}
		if progressed {
			stallTimer.Reset(r.stallTimeout())
		}
		if splitErr != nil {
			return splitErr
		}
		if errors.Is(err, io.EOF) {
			return r.finishEvents(response, s)
		}
		if err != nil {
			if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
				return cause
			}
			return err
		}
	}
}

// finishEvents returns an error if the stream ended inside an event.
func (r *request) finishEvents(response *Response, s *eventStream) error {
	if s.splitter.hasPartial() {
		return errPartialEvent
	}
	if s.writer != nil {
		return nil
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

func (r *request) stallTimeout() time.Duration { return stallTimeoutFactor * r.route.MaxEventGap }

// newStallTimer returns a timer that cancels the attempt of a resumable stream
// when no event arrives in time. It runs from the first event on. For other
// streams the timer has no effect.
func (r *request) newStallTimer(cancel context.CancelCauseFunc, s *eventStream) *time.Timer {
	if r.route.RetryPolicy != catalog.RetryFromEvent || r.route.MaxEventGap <= 0 || r.executions >= r.route.MaxRunners {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	t := time.AfterFunc(time.Hour, func() { cancel(errStalled) })
	if s.writer != nil {
		t.Reset(r.stallTimeout())
	}
	return t
}
