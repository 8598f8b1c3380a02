package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/execution"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/quarantine"
)

// finding is what an attempt has shown of a runner and of the parts of a prompt. Each
// finding is a row of the table in docs/design/runner-processes.md.
type finding int

const (
	// foundNothing: this VM or the caller has ended the attempt, or what the runner
	// answered was damaged. That says nothing of its end.
	foundNothing finding = iota
	// foundUnreachable: nothing was sent, as no connection could be opened.
	foundUnreachable
	// foundLost: the connection ended before the answer was complete.
	foundLost
	// foundAlive: the runner has answered, in whatever way.
	foundAlive
	// foundMisdirected: another runner has answered at its address.
	foundMisdirected
	// foundGoingOn: a successful answer has gone on for soundAnswerTime.
	foundGoingOn
	// foundComplete: a successful answer has come to its own end.
	foundComplete
	// foundEnded: a successful answer without an end mark has ended with its connection,
	// outside an event if it was a stream.
	foundEnded
)

// soundAnswerTime is how long after its first event an answer must still go on to
// show that its prompt does not crash engines: these end as they begin to answer.
const soundAnswerTime = time.Second

// observe records what an attempt has shown. Every way to a runner that carries a
// prompt reports here.
func (r *request) observe(runner *placement.RunnerState, attempt *attemptRecord, found finding) {
	now := time.Now()
	switch found {
	case foundUnreachable:
		r.g.runners.recordUnreachable(now, runner)
	case foundLost:
		r.g.evidence.RecordLoss(now, r.g.runners.exchangeWith(runner, attempt), r.sharedParts())
	case foundAlive:
		r.g.evidence.RecordAlive(now, r.g.runners.exchangeWith(runner, attempt))
		r.g.runners.recordAnswered(now, runner)
	case foundGoingOn, foundComplete:
		r.g.evidence.RecordAnswer(now, r.sharedParts())
	case foundEnded:
		r.g.evidence.RecordEnded(now, r.g.runners.exchangeWith(runner, attempt), r.sharedParts())
	case foundNothing, foundMisdirected:
	}
}

// headFinding returns what the head of an answer shows.
func headFinding(response *Response) finding {
	if response.Conclusion == execution.Misdirected {
		return foundMisdirected
	}
	return foundAlive
}

// endFinding returns what the end of an answer shows that has passed all checks. A
// status that is no success shows nothing of the prompt: the runner may not have looked at
// it. An end that is only that of the connection may also be one that a crash has made.
func endFinding(response *Response) finding {
	switch {
	case response.Status/100 != http.StatusOK/100:
		return foundNothing
	case response.EndsWithConnection:
		return foundEnded
	}
	return foundComplete
}

// failureFinding returns what an attempt shows that ended with an error after the
// request may have been sent, or before. ctx is that of the attempt.
func failureFinding(ctx context.Context, sent bool, err error) finding {
	switch {
	case ctx.Err() != nil || isOwnFailure(err):
		return foundNothing
	case !sent:
		return foundUnreachable
	}
	return foundLost
}

// isOwnFailure reports whether an error comes from this VM, or from what it read of an
// answer, rather than from the connection.
func isOwnFailure(err error) bool {
	var full *buffers.FullError
	if errors.As(err, &full) {
		return true
	}
	for _, own := range []error{errAnswerTooLarge, errEventTooLarge, errNotTheStream, errNoProof} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// exchangeWith names an attempt at a runner as evidence.
func (r *runnerSet) exchangeWith(runner *placement.RunnerState, attempt *attemptRecord) quarantine.Exchange {
	return quarantine.Exchange{Runner: runner.Name(), Process: r.startOf(runner), ConnectedAt: attempt.connected(), SentAt: attempt.began}
}

// recordUnreachable records that no connection to a runner could be opened.
func (r *runnerSet) recordUnreachable(now time.Time, runner *placement.RunnerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runner.Recovery.RecordFailure(now)
}

// streamProgress tells when an answer has gone on for soundAnswerTime.
type streamProgress struct {
	firstEventAt time.Time
	sound        bool
}

// event records an event. It reports whether the answer has turned out sound with
// it.
func (p *streamProgress) event(now time.Time) bool {
	if p.firstEventAt.IsZero() {
		p.firstEventAt = now
	}
	if p.sound || now.Sub(p.firstEventAt) < soundAnswerTime {
		return false
	}
	p.sound = true
	return true
}

func (r *request) sharedParts() []quarantine.Part {
	return quarantine.PartsOf(r.call.Prompt.SharedIDs())
}
