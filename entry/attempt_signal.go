package entry

import (
	"context"
	"errors"
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
