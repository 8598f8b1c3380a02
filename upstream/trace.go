package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// writeTrace records whether any byte of a call may have been written, and whether
// all of it was. The first is set when the headers are about to be written. A guard
// that fails later, before the first byte, is recognized by its guardError.
type writeTrace struct {
	wrote atomic.Bool
	// onWritten is called when the whole request has been written.
	onWritten func()

	mu sync.Mutex
	// ended is closed at the end of the write on the current connection, and err is its
	// result.
	ended chan struct{}
	err   error
}

func (w *writeTrace) attach(ctx context.Context) context.Context {
	trace := &httptrace.ClientTrace{
		GotConn:          func(httptrace.GotConnInfo) { w.begin() },
		WroteHeaderField: func(string, []string) { w.wrote.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				w.onWritten()
			}
			w.end(info.Err)
		},
	}
	return httptrace.WithClientTrace(ctx, trace)
}

func (w *writeTrace) written() bool { return w.wrote.Load() }

func (w *writeTrace) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.err = make(chan struct{}), nil
}

// end records the end of a write. That of a connection which net/http has replaced may
// come late. It then counts for the current one: a response without a length may be
// refused although it is whole, but a part never passes for one.
func (w *writeTrace) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
	select {
	case <-w.ended:
	default:
		close(w.ended)
	}
}

// await waits for the end of the write, or of ctx, and returns its result.
func (w *writeTrace) await(ctx context.Context) error {
	w.mu.Lock()
	ended := w.ended
	w.mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// unframedBody is the body of a response without a length and chunks. Its connection
// ends it, but only once the request is written: what ends before is a part.
type unframedBody struct {
	io.ReadCloser
	ctx   context.Context
	trace *writeTrace
}

// Read reads from the body.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := b.trace.await(b.ctx); writeErr != nil {
		return n, fmt.Errorf("the connection ended before the request was written: %w", writeErr)
	}
	return n, err
}
