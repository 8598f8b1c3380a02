package gateway

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/exchange"
	"damaskbridge.example/damaskbridge/execution"
)

// attemptRecord holds what became of one attempt at one runner, for the log. It is
// safe for concurrent use: the steps of an exchange come from several goroutines.
type attemptRecord struct {
	runner string
	// received is when the caller's request arrived, began when this attempt began.
	received time.Time
	began    time.Time

	mu sync.Mutex
	// kept is true if the connection had served a request before.
	kept bool
	// connectedAt is when the opening of the connection began.
	connectedAt time.Time
	// written, answered and ended are when the exchange reached these steps, zero
	// for not yet.
	written, answered, ended time.Time
	rule                     execution.Rule
}

// recordStep records a step of the exchange.
func (a *attemptRecord) recordStep(s exchange.Step) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s {
	case exchange.StepKeptConn:
		a.kept = true
	case exchange.StepWritten:
		a.written = now
	case exchange.StepAnswered:
		a.answered = now
	case exchange.StepEnded:
		a.ended = now
	}
}

// recordConnection records when the opening of the connection began.
func (a *attemptRecord) recordConnection(openedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connectedAt = openedAt
}

// connected returns when the opening of the connection began, the zero time if that is
// not known.
func (a *attemptRecord) connected() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connectedAt
}

// conclude records the rule by which the attempt counts as executed or not.
func (a *attemptRecord) conclude(m *gatewayMetrics, rule execution.Rule) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rule = rule
	m.recordConclusion(rule)
}

// overlapWith returns how long this attempt went on while the runner of the next
// one had the request.
func (a *attemptRecord) overlapWith(next *attemptRecord) time.Duration {
	a.mu.Lock()
	ended := a.ended
	a.mu.Unlock()
	next.mu.Lock()
	defer next.mu.Unlock()
	if next.written.IsZero() || ended.Before(next.written) {
		return 0
	}
	return ended.Sub(next.written)
}

// String returns the record in words of name=value. Times are in ms since the
// request arrived; a step that was not reached is left out.
func (a *attemptRecord) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var b strings.Builder
	conn := "new"
	if a.kept {
		conn = "kept"
	}
	fmt.Fprintf(&b, "runner=%s conn=%s began=%d", a.runner, conn, a.began.Sub(a.received).Milliseconds())
	for _, step := range []struct {
		name string
		at   time.Time
	}{{"written", a.written}, {"answered", a.answered}, {"ended", a.ended}} {
		if !step.at.IsZero() {
			fmt.Fprintf(&b, " %s=%d", step.name, step.at.Sub(a.received).Milliseconds())
		}
	}
	if a.rule != "" {
		fmt.Fprintf(&b, " rule=%s", a.rule)
	}
	return b.String()
}

// attemptRecords holds the records of all attempts of a request, also of those that
// a standby makes. It is safe for concurrent use.
type attemptRecords struct {
	mu   sync.Mutex
	list []*attemptRecord
}

// begin adds the record of an attempt that begins now.
func (l *attemptRecords) begin(runner string, received time.Time) *attemptRecord {
	a := &attemptRecord{runner: runner, received: received, began: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
	return a
}

// strings returns the records as they are logged.
func (l *attemptRecords) strings() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, a := range l.list {
		out = append(out, a.String())
	}
	return out
}
