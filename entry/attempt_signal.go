package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/retry"
	"damaskbridge.example/damaskbridge/upstream"
)

// errTakenOver cancels an attempt whose runner was silent, after another runner
// has taken the request.
var errTakenOver = errors.New("the runner was silent and another attempt has taken over; check the runner if this repeats")

// signalKind is what a running attempt reports of its runner.
type signalKind uint8

const (
	// signalDelivered: the whole request has been written.
	signalDelivered signalKind = iota
	// signalProgress: the result has begun to arrive, or goes on after a silence.
	signalProgress
	// signalStalled: the runner is silent for longer than expected.
	signalStalled
)

// attemptSignal is a report of a running attempt.
type attemptSignal struct {
	number int
	kind   signalKind
}

// signalFunc passes a report to the attempt's driver.
type signalFunc func(kind signalKind)

// signaler returns the signalFunc of an attempt, which drops the report if ctx
// has ended.
func (d *attemptDriver[T]) signaler(ctx context.Context, number int) signalFunc {
	return func(kind signalKind) {
		select {
		case d.signals <- attemptSignal{number, kind}:
		case <-ctx.Done():
		}
	}
}

// handleSignal passes a report to the retry policy and returns the actions to
// apply.
func (d *attemptDriver[T]) handleSignal(s attemptSignal) []retry.Action {
	now := time.Now()
	switch s.kind {
	case signalDelivered:
		d.call.Delivered(s.number, now)
		return nil
	case signalProgress:
		return d.call.Progress(s.number)
	default:
		return d.call.Stalled(s.number, now)
	}
}

// cancelCause returns the cause with which an attempt is cancelled.
func cancelCause(r retry.Reason) error {
	if r == retry.TakenOver {
		return errTakenOver
	}
	return context.Canceled
}

// attemptError returns the error of an attempt. One that was cancelled because its
// runner was silent is recorded as silent.
func attemptError(ctx context.Context, addr string, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errTakenOver) || upstream.CauseOf(err) != upstream.Cancelled {
		return err
	}
	return &upstream.Error{Cause: upstream.SilentConnection, Address: addr, Err: errTakenOver}
}

// stallWatch reports an attempt whose engine sends no token for longer than the
// allowed gap, once per gap, and its next token after that.
type stallWatch struct {
	execution *execution
	attempt   int
	signal    signalFunc

	// mu keeps the reports in the order of what they report.
	mu    sync.Mutex
	timer *time.Timer
	// begun is true after the first token that was new to the stream.
	begun bool
	// reportedAt is the time of the last report of a silence that lasts, or the
	// zero time.
	reportedAt time.Time
	stopped    bool
}

// stallCheckInterval is the time between two checks of an attempt for a stall.
const stallCheckInterval = 100 * time.Millisecond

func newStallWatch(e *execution, attempt int, signal signalFunc) *stallWatch {
	w := &stallWatch{execution: e, attempt: attempt, signal: signal}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stallCheckInterval, w.check)
	return w
}

// check reports a silence that lasts.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Now()
	if now.Sub(w.reportedAt) >= w.execution.tokenGap && w.execution.tokens.Stalled(w.attempt, now) {
		w.reportedAt = now
		w.signal(signalStalled)
	}
	w.timer.Reset(stallCheckInterval)
}

// progress reports a token that was new to the stream if it is the first one or
// ends a silence.
func (w *stallWatch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun && w.reportedAt.IsZero() {
		return
	}
	w.begun = true
	w.reportedAt = time.Time{}
	w.signal(signalProgress)
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
