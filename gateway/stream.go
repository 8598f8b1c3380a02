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
	// streamReadBytes is the size of one read of a stream.
	streamReadBytes = 8 << 10
	// gapFactor times the longest pause that is on time is how long a stream
	// that may go on elsewhere waits for its next event.
	gapFactor = 3
	// maxResumes bounds how often one stream goes on at another runner.
	maxResumes = 2
)

var (
	errPartialEvent = errors.New("the stream ended within an event")
	errPause        = errors.New("the stream made no progress")
)

// streaming is a streamed answer on its way to the caller.
type streaming struct {
	splitter eventSplitter
	writer   EventWriter
}

// attemptStream sends the request and passes the events on. Once the caller has
// the first one, a break ends the answer, unless the stream may go on at another
// runner.
func (r *request) attemptStream(ctx context.Context, entry *placement.Entry) verdict {
	s := &streaming{}
	if r.call.ResumeAfter != "" {
		s.splitter.resumeAfter(r.call.ResumeAfter)
	}
	for {
		v := r.streamFrom(ctx, entry, s)
		if v.done || s.writer == nil {
			return v
		}
		if v.executed && !v.counted {
			r.executions++
		}
		r.last = v.cause
		r.logAttempt(entry, &v, time.Now())
		r.tried = append(r.tried, entry)
		next := r.resumeAt(ctx, &v)
		if next == nil {
			r.broken = true
			s.writer.Abort()
			return verdict{done: true}
		}
		entry = next
		r.runner = next.ID
		r.resumed++
		r.g.count.resumed.Inc()
	}
}

// resumeAt chooses the runner at which a broken stream goes on, nil if it may
// not or cannot.
func (r *request) resumeAt(ctx context.Context, v *verdict) *placement.Entry {
	now := time.Now()
	if r.route.Repeat != catalog.RepeatFromEvent || ctx.Err() != nil || r.resumed >= maxResumes {
		return nil
	}
	if r.executions >= r.route.MaxRunners || r.deadline.Sub(now) < minLeft {
		return nil
	}
	if !r.g.budgets.of(r.service.Name).Spend(now) {
		return nil
	}
	if r.stages != nil {
		// The results were freed with the first event, so that they don't take
		// up memory for the whole stream.
		if refusal := r.stageAgain(ctx); refusal != nil {
			return nil
		}
	}
	r.sends++
	return r.pick(now)
}

// streamFrom passes on the events of one runner. The verdict is done when the
// stream is complete.
func (r *request) streamFrom(ctx context.Context, entry *placement.Entry, s *streaming) verdict {
	prefilling := true
	began := func() {
		if prefilling {
			prefilling = false
			r.g.runners.prefilled(entry, r.call.Prompt.Tokens)
		}
	}
	if r.service.Engine != nil {
		defer began()
	}
	d := r.dispatch(entry, time.Now())
	if s.splitter.lastID != "" {
		d.ResumeAfter = s.splitter.lastID
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	release := r.releaseInputs(entry, time.Now())
	if release != nil {
		d.Sent = release.sent
	}
	answer, n := r.send(ctx, entry, d)
	r.endRelease(release, answer != nil, &n)
	inputsGone := n.inputsGone
	if answer == nil {
		r.g.runners.done(entry, n.note)
		return n.verdict
	}
	if answer.Status/100 != 2 {
		if s.writer != nil {
			_ = answer.Body.Close()
			r.g.runners.done(entry, nil)
			return verdict{executed: true, arrived: true, cause: "status_" + http.StatusText(answer.Status)}
		}
		return r.passWhole(ctx, entry, answer)
	}
	r.executions++
	err := r.copyEvents(ctx, cancel, answer, s, began)
	_ = answer.Body.Close()
	if err == nil {
		r.g.runners.done(entry, (*placement.Entry).Worked)
		return verdict{done: true}
	}
	if s.writer == nil {
		// Counted by the caller of this attempt.
		r.executions--
	}
	var gone *callerGoneError
	if errors.As(err, &gone) {
		r.g.runners.done(entry, nil)
		r.broken, r.last = true, err.Error()
		s.writer.Abort()
		return verdict{done: true}
	}
	n = r.failed(ctx, &exchange.Error{Addr: entry.Addr, Sent: true, Answered: true, Err: err})
	n.inputsGone = inputsGone
	n.counted = s.writer != nil
	r.g.runners.done(entry, n.note)
	return n.verdict
}

// callerGoneError says that the caller does not take the answer.
type callerGoneError struct{ err error }

func (e *callerGoneError) Error() string {
	return "the caller's connection does not take the answer: " + e.err.Error()
}

// copyEvents passes events on until the end of the runner's answer.
func (r *request) copyEvents(ctx context.Context, cancel context.CancelCauseFunc, answer *Answer, s *streaming, began func()) error {
	s.splitter.dropPartial()
	pause := r.watchPauses(cancel, s)
	defer pause.Stop()
	buffer := make([]byte, streamReadBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if events := s.splitter.push(buffer[:n]); len(events) > 0 {
			began()
			r.freeInputs()
			pause.Stop()
			if writeErr := r.writeEvents(answer, s, events); writeErr != nil {
				return &callerGoneError{writeErr}
			}
			pause.Reset(r.pauseLimit())
		}
		if errors.Is(err, io.EOF) {
			return r.endEvents(answer, s)
		}
		if err != nil {
			if cause := context.Cause(ctx); errors.Is(cause, errPause) {
				return cause
			}
			return err
		}
	}
}

// endEvents checks that the stream ended between two events.
func (r *request) endEvents(answer *Answer, s *streaming) error {
	if s.splitter.hasPartial() {
		return errPartialEvent
	}
	if s.writer != nil {
		return nil
	}
	// A stream without any event is complete too.
	return r.writeEvents(answer, s, nil)
}

func (r *request) writeEvents(answer *Answer, s *streaming, events []byte) error {
	if s.writer == nil {
		r.firstAt = time.Now()
		if !r.stagedAt.IsZero() {
			r.g.engines.note(r.route.Name, r.firstAt.Sub(r.stagedAt))
		}
		r.status = answer.Status
		r.g.count.answered(answer.Status)
		r.g.count.began(r.call.Received)
		writer, err := r.out.Stream(answer.Status, answer.Header)
		if err != nil {
			return err
		}
		s.writer = writer
	}
	return s.writer.Write(events)
}

func (r *request) pauseLimit() time.Duration { return gapFactor * r.route.MaxEventGap }

// watchPauses ends an attempt whose stream stands still, if it may go on
// elsewhere. It watches from the first event on.
func (r *request) watchPauses(cancel context.CancelCauseFunc, s *streaming) *time.Timer {
	if r.route.Repeat != catalog.RepeatFromEvent || r.route.MaxEventGap <= 0 || r.executions >= r.route.MaxRunners {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	t := time.AfterFunc(time.Hour, func() { cancel(errPause) })
	if s.writer != nil {
		t.Reset(r.pauseLimit())
	}
	return t
}
