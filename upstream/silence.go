package upstream

import (
	"io"
	"sync"
	"time"
)

// silenceWatch reports that a runner has sent no byte of its response for the
// progress timeout, once per timeout. It ends nothing, because a sound runner may
// be silent and go on. A nil watch does nothing.
type silenceWatch struct {
	timeout  time.Duration
	onSilent func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// newSilenceWatch returns the watch of a call to addr, nil if onSilent is nil. The
// runner's idle connections may be silent as well and are closed before onSilent is
// called.
func (c *Client) newSilenceWatch(addr string, onSilent func()) *silenceWatch {
	timeout := time.Duration(c.progressTimeoutNS.Load())
	if onSilent == nil || timeout <= 0 {
		return nil
	}
	return &silenceWatch{timeout: timeout, onSilent: func() {
		c.sharedTransport(transportKey{addr: addr, noProgressTimeout: true}).CloseIdleConnections()
		onSilent()
	}}
}

// progress restarts the timeout. The first call starts it.
func (w *silenceWatch) progress() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case w.timer == nil:
		w.timer = time.AfterFunc(w.timeout, w.report)
	default:
		w.timer.Reset(w.timeout)
	}
}

func (w *silenceWatch) report() {
	w.onSilent()
	w.progress()
}

func (w *silenceWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// watchedReader restarts the timeout of a watch with each read.
type watchedReader struct {
	io.Reader
	watch *silenceWatch
}

func (r watchedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.watch.progress()
	return n, err
}
