package upstream

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// writeTrace records whether any byte of a call may have been written. It is set
// when the headers are about to be written. A guard that fails later, before the
// first byte, is recognized by its guardError.
type writeTrace struct {
	wrote atomic.Bool
	// onWritten is called when the whole request has been written.
	onWritten func()
}

func (w *writeTrace) attach(ctx context.Context) context.Context {
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { w.wrote.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				w.onWritten()
			}
		},
	}
	return httptrace.WithClientTrace(ctx, trace)
}

func (w *writeTrace) written() bool { return w.wrote.Load() }
