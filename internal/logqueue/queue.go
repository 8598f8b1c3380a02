// Package logqueue keeps writers of log lines from waiting for the output.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Queue is an io.Writer that hands lines to a goroutine. A line that finds the
// queue full is dropped and counted. It is safe for concurrent use, also after
// Close.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
	dropped atomic.Uint64
}

// New makes a queue of size lines before out.
func New(out io.Writer, size int) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, size), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a copy of one line. It never waits and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is queued and ends. Later lines are lost.
func (q *Queue) Close() error {
	q.once.Do(func() { close(q.closing) })
	<-q.done
	return nil
}

func (q *Queue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.emit(line)
		case <-q.closing:
			q.drain()
			return
		}
	}
}

func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.emit(line)
		default:
			return
		}
	}
}

// emit writes a line and, after a full queue, how many were dropped. A failed
// output has no better place to be reported.
func (q *Queue) emit(line []byte) {
	_, _ = q.out.Write(line)
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.out, `{"level":"warn","lines":%d,"message":"log: lines dropped"}`+"\n", n)
	}
}
