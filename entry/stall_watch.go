package entry

import (
	"sync"
	"time"
)

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
