package logqueue

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockingWriter is an output that blocks until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against requests that block because nothing reads the standard output.
func TestFullQueueDropsAndReportsLines(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	q := New(out, 4)
	for range 100 {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.unblock)
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	text := out.text.String()
	if lines := strings.Count(text, "line\n"); lines < 4 || lines > 5 {
		t.Fatalf("%d lines were written, want the 4 queued ones and at most 1 more", lines)
	}
	if !strings.Contains(text, "lines dropped") {
		t.Fatalf("the output does not report the dropped lines: %s", text)
	}
}

// Guards against errors and data races when lines are written while the process
// shuts down.
func TestWriteDuringAndAfterClose(t *testing.T) {
	var out bytes.Buffer
	q := New(&out, 1000)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 100 {
				_, _ = q.Write([]byte("x\n"))
			}
		})
	}
	_ = q.Close()
	writers.Wait()
	if _, err := q.Write([]byte("late\n")); err != nil {
		t.Fatal(err)
	}
	_ = q.Close()
}
