// Package logqueue implements an asynchronous log writer, so that logging does
// not block on a slow output.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Queue is an io.Writer that queues lines for a goroutine that writes them to
// the output. When the queue is full, it drops and counts lines. It is safe for
// concurrent use, also after Close.
type Queue struct {
	out       io.Writer
	lines     chan []byte
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Uint64
}

// New returns a queue that holds up to size lines and writes to out.
func New(out io.Writer, size int) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, size), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a copy of one line. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine. Lines written later are
// lost. It does not close the output.
func (q *Queue) Close() error {
	q.closeOnce.Do(func() { close(q.closing) })
	<-q.done
	return nil
}

func (q *Queue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case <-q.closing:
			q.writeQueued()
			return
		}
	}
}

func (q *Queue) writeQueued() {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line and, if lines were dropped, a line with their number.
// It ignores write errors, as the log is the only place to report them.
func (q *Queue) writeLine(line []byte) {
	_, _ = q.out.Write(line)
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.out, `{"level":"warn","lines":%d,"message":"log: lines dropped"}`+"\n", n)
	}
}
