// Package buffers bounds the memory that a process uses for bytes that others send:
// one bound for all of them, with an allowance for each that is not counted.
package buffers

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Kind is what buffered bytes are. Each kind has a counter of refusals.
type Kind string

// Kinds.
const (
	// Request is the head and the body of a caller's request.
	Request Kind = "request"
	// Pieces are the pieces of a request's stages.
	Pieces Kind = "pieces"
	// Answer is the body of a runner's answer, AnswerHead its head.
	Answer     Kind = "answer"
	AnswerHead Kind = "answer_head"
	// Events are the incomplete events of a stream.
	Events Kind = "events"
	// StageAnswer is the answer to a stage call.
	StageAnswer Kind = "stage_answer"
	// ListPage is a page of the list of runners.
	ListPage Kind = "list_page"
	// Document is a document that an operator publishes.
	Document Kind = "document"
)

// requestShare is the part of the memory that requests and their pieces may fill. The
// rest is left for answers: a refused request can be sent again, a lost answer cannot.
const requestShare = 0.75

// Memory accounts for buffered bytes up to a limit. A nil Memory has no limit. It is
// safe for concurrent use.
type Memory struct {
	limit int64
	set   *metrics.Set

	mu   sync.Mutex
	used int64
	peak int64
}

// processShare is the part of a process's memory that bytes of others may fill.
const processShare = 0.25

// ForProcess returns the Memory of a process that may use a number of bytes in all.
func ForProcess(bytes int64) *Memory { return New(int64(processShare * float64(bytes))) }

// New returns a Memory with a limit in bytes.
func New(limit int64) *Memory {
	m := &Memory{limit: limit, set: metrics.NewSet()}
	m.set.NewGauge("damask_buffers_bytes", func() float64 { return float64(m.Used()) })
	m.set.NewGauge("damask_buffers_peak_bytes", func() float64 { return float64(m.Peak()) })
	m.set.NewGauge("damask_buffers_limit_bytes", func() float64 { return float64(limit) })
	return m
}

// FullError says that bytes have found no room.
type FullError struct {
	Kind Kind
	// Bytes is how many were asked for, Limit how many there may be of all kinds
	// together for one of this kind to be added.
	Bytes int64
	Limit int64
}

func (e *FullError) Error() string {
	return fmt.Sprintf("buffers: no room for %d bytes (%s) within %d bytes; try again later, or give the VM more memory", e.Bytes, e.Kind, e.Limit)
}

// Reserve counts n bytes. It returns a *FullError if they find no room.
func (m *Memory) Reserve(kind Kind, n int64) error {
	if m == nil {
		return nil
	}
	limit := m.limitOf(kind)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > limit {
		m.set.GetOrCreateCounter(fmt.Sprintf("damask_buffers_refused_total{kind=%q}", kind)).Inc()
		return &FullError{Kind: kind, Bytes: n, Limit: limit}
	}
	m.used += n
	m.peak = max(m.peak, m.used)
	return nil
}

// Release gives back n bytes that Reserve has counted.
func (m *Memory) Release(n int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
}

func (m *Memory) limitOf(kind Kind) int64 {
	if kind == Request || kind == Pieces {
		return int64(requestShare * float64(m.limit))
	}
	return m.limit
}

// Used returns the number of bytes counted now.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Peak returns the highest number of bytes counted at a time.
func (m *Memory) Peak() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (m *Memory) WriteMetrics(w io.Writer) { m.set.WritePrometheus(w) }
