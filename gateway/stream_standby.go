package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/placement"
)

const (
	// maxResumes limits how often one stream is sent to another runner.
	maxResumes = 2
	// maxOverlap is how long two runners may have one stream. A runner that fails at
	// once does so earlier, also one in another region. The close may reach the silent
	// runner later than the request has reached the other one, by what waits on this
	// VM's link.
	maxOverlap = 100 * time.Millisecond
)

// errTakenOver ends a leg whose stream goes on at another runner.
var errTakenOver = errors.New("the runner was silent and another one has taken over the stream")

// standby prepares the continuation of a stream at another runner. A silent
// runner may be sound and go on, so its leg ends only when another runner has
// taken the request. If none does, the stream stays where it is.
type standby struct {
	// request is a copy: what the standby counts and stores in it is taken over
	// at its end.
	request *request
	stream  *eventStream
	// position is the ID of the last event before the silence.
	position string
	ctx      context.Context
	cancel   context.CancelFunc
	// silent is the leg that is to end, nil if it has ended already.
	silent *streamLeg
	// previous is the standby before this one, nil if there was none.
	previous *standby

	// done is closed at the end. The fields below are valid then.
	done chan struct{}
	// asked reports that a runner was asked.
	asked bool
	// leg is the continuation, nil if there is none.
	leg *streamLeg

	// abandoned and accepted are guarded by stream.mu. At most one is set.
	abandoned bool
	accepted  bool
}

// newStandby returns a standby that run prepares. It is called with s.mu held.
func (r *request) newStandby(ctx context.Context, s *eventStream, silent *streamLeg) *standby {
	own := *r
	own.tried = slices.Clip(r.tried)
	if silent != nil {
		own.tried = append(own.tried, silent.runner)
	}
	b := &standby{
		request: &own, stream: s, position: s.splitter.position(), silent: silent, previous: s.last,
		done: make(chan struct{}),
	}
	b.ctx, b.cancel = context.WithCancel(ctx)
	s.standby, s.last = b, b
	return b
}

// run asks another runner to go on with the stream.
func (b *standby) run() {
	defer close(b.done)
	if b.previous != nil {
		<-b.previous.done
		b.request.takeCounts(b.previous.request)
	}
	b.ask()
	if b.leg == nil {
		b.cancel()
		b.request.freeAll()
		b.release()
	}
}

// ask sends the request to another runner and sets leg if it goes on with the
// stream.
func (b *standby) ask() {
	r := b.request
	runner := r.pickResumeRunner(b.ctx, b.position)
	if runner == nil {
		return
	}
	r.resumes++
	b.asked = true
	room, err := b.reserveRoom(runner)
	if err != nil {
		r.g.runners.unpick(runner, r.service, &r.call.Prompt)
		b.fail(runner, &attemptResult{cause: "no room reserved: " + err.Error()})
		return
	}
	// The timer is set when the request has been sent.
	overlap := time.AfterFunc(time.Hour, func() { b.accept() })
	// A refusal for want of inputs might come when the silent runner has been left.
	start := legStart{position: b.position, room: room, keepInputs: b.silent != nil, onSent: func() { overlap.Reset(maxOverlap) }}
	leg, n := r.openLeg(b.ctx, runner, start)
	overlap.Stop()
	if leg == nil {
		if n.executed {
			r.executions++
		}
		b.fail(runner, &n.attemptResult)
		return
	}
	r.executions++
	if cause := r.whyNotTheStream(leg.response); cause != "" {
		r.dropLeg(leg)
		b.fail(runner, &attemptResult{executed: true, arrived: true, cause: cause})
		return
	}
	if !b.accept() {
		r.dropLeg(leg)
		return
	}
	b.leg = leg
}

// reserveRoom asks a runner to keep room while the silent runner still has the stream:
// a runner without room then says so before it has the request, however late. For a
// stream that has ended at its runner the question would only cost time.
func (b *standby) reserveRoom(runner *placement.RunnerState) (handle string, err error) {
	if b.silent == nil {
		return "", nil
	}
	return b.request.reserveRoom(b.ctx, runner)
}

// whyNotTheStream returns why an answer to the resume cannot be the stream, or ""
// if it may be. Its events are checked as they come.
func (r *request) whyNotTheStream(response *Response) string {
	if response.Status != r.status {
		return "status_" + http.StatusText(response.Status)
	}
	return ""
}

// dropLeg ends a leg that was not relayed.
func (r *request) dropLeg(leg *streamLeg) {
	leg.close()
	r.g.runners.finish(leg.runner, nil)
}

// fail records an attempt that is no continuation of the stream.
func (b *standby) fail(runner *placement.RunnerState, v *attemptResult) {
	b.request.lastCause = v.cause
	b.request.tried = append(b.request.tried, runner)
	b.request.logAttempt(runner, v, time.Now())
}

// accept ends the silent leg, since another runner has the request. It returns
// false if the silent runner went on before.
func (b *standby) accept() bool {
	b.stream.mu.Lock()
	defer b.stream.mu.Unlock()
	if b.abandoned {
		return false
	}
	if !b.accepted && b.silent != nil {
		b.silent.stop(errTakenOver)
	}
	b.accepted = true
	return true
}

// release lets the stall timer start another standby if the silence lasts.
func (b *standby) release() {
	s := b.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.accepted {
		return
	}
	b.abandoned = true
	if s.standby == b {
		s.standby = nil
		s.recordProgress(b.request.stallTimeout())
	}
}

// takeCounts takes over what a standby has counted in its copy of the request.
func (r *request) takeCounts(from *request) {
	r.sends, r.executions, r.resumes = from.sends, from.executions, from.resumes
	r.tried = from.tried
}

// pickResumeRunner chooses the runner at which a stream is resumed after the event
// with the ID position. It returns nil if the stream cannot be resumed or is not
// allowed to be.
func (r *request) pickResumeRunner(ctx context.Context, position string) *placement.RunnerState {
	now := time.Now()
	if !r.mayResume() || position == "" || ctx.Err() != nil || r.resumes >= maxResumes {
		return nil
	}
	if r.executions >= r.route.MaxRunners || r.deadline.Sub(now) < minTimeLeft || !r.mayStart(now) || r.refuseQuarantined(now) != nil {
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
	return r.pickRunner(time.Now())
}

func (r *request) mayResume() bool { return r.route.RetryPolicy == catalog.RetryFromEvent }

// nextLeg returns the continuation of a stream whose leg has ended, or nil if
// there is none.
func (r *request) nextLeg(ctx context.Context, s *eventStream) *streamLeg {
	for {
		b := s.currentStandby()
		if b == nil {
			s.mu.Lock()
			b = r.newStandby(ctx, s, nil)
			s.mu.Unlock()
			b.run()
		}
		<-b.done
		r.takeCounts(b.request)
		r.stages = b.request.stages
		s.dropStandby()
		if b.leg != nil {
			return b.leg
		}
		if !b.asked {
			return nil
		}
		r.lastCause = b.request.lastCause
	}
}

// abandonStandby ends the standby of a leg that goes on, unless the other runner
// has already taken over. It is called with mu held.
func (s *eventStream) abandonStandby() {
	if s.standby == nil || s.standby.accepted {
		return
	}
	s.standby.abandoned = true
	s.standby.cancel()
	s.standby = nil
}

// currentStandby returns the standby that is prepared, or nil.
func (s *eventStream) currentStandby() *standby {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standby
}

// dropStandby forgets a standby whose counts were taken over.
func (s *eventStream) dropStandby() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standby, s.last = nil, nil
}

// end abandons what is still prepared at the end of the stream. Another runner
// may have taken over at the moment in which the silent one went on to the end.
func (s *eventStream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.splitter.account.Close()
	b := s.standby
	s.abandonStandby()
	if b == nil || !b.accepted {
		return
	}
	s.standby = nil
	b.cancel()
	go func() {
		<-b.done
		if b.leg != nil {
			b.request.dropLeg(b.leg)
		}
		b.request.freeAll()
	}()
}
