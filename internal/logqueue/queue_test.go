package logqueue

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// gate is an output that waits until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

// A standard output that nobody reads must not hold up requests.
func TestFullQueueDropsLinesAndSaysSo(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	q := New(out, 4)
	for range 100 {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.open)
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	text := out.text.String()
	if lines := strings.Count(text, "line\n"); lines < 4 || lines > 5 {
		t.Fatalf("%d lines were written of a queue of 4", lines)
	}
	if !strings.Contains(text, "lines dropped") {
		t.Fatalf("nothing says that lines were dropped: %s", text)
	}
}

// A line that comes while the process ends must neither fail nor race.
func TestLinesDuringAndAfterClose(t *testing.T) {
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
