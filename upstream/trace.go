package upstream

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// sentTrace notes whether any byte of a call may have been written. It is set
// when the headers are about to reach the connection, which is early enough:
// a guard that fails at the first byte is recognized by its own error.
type sentTrace struct{ wrote atomic.Bool }

func (s *sentTrace) with(ctx context.Context) context.Context {
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { s.wrote.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace)
}

func (s *sentTrace) written() bool { return s.wrote.Load() }
