package entry

import (
	"context"
	"errors"
	"sync"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
)

// SessionRecorder is a Recorder that keeps one audit writer per session of this
// VM, because the records of a session form one numbered sequence. It is safe
// for concurrent use.
type SessionRecorder struct {
	caller transport.Caller
	addrs  []string
	opts   audit.WriterOptions

	mu      sync.Mutex
	writers map[ids.SessionID]*audit.Writer
}

// NewSessionRecorder returns a recorder that writes to the control VMs at addrs,
// which are ordered nearest first.
func NewSessionRecorder(caller transport.Caller, addrs []string, o audit.WriterOptions) *SessionRecorder {
	return &SessionRecorder{caller: caller, addrs: addrs, opts: o, writers: make(map[ids.SessionID]*audit.Writer)}
}

// writer returns the session's writer and starts it if needed.
func (r *SessionRecorder) writer(session ids.SessionID) (*audit.Writer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w, ok := r.writers[session]; ok {
		return w, nil
	}
	w, err := audit.NewWriter(session, r.caller, r.addrs, r.opts)
	if err != nil {
		return nil, err
	}
	r.writers[session] = w
	return w, nil
}

// Begin writes the record and returns when it is durable on a control VM.
func (r *SessionRecorder) Begin(ctx context.Context, record audit.Record) error {
	w, err := r.writer(record.Request.Session)
	if err != nil {
		return err
	}
	return w.Begin(ctx, record)
}

// Append queues the record and returns without waiting.
func (r *SessionRecorder) Append(record audit.Record) error {
	w, err := r.writer(record.Request.Session)
	if err != nil {
		return err
	}
	return w.Append(record)
}

// Flush returns when the queued records of all sessions are durable.
func (r *SessionRecorder) Flush(ctx context.Context) error {
	r.mu.Lock()
	writers := make([]*audit.Writer, 0, len(r.writers))
	for _, w := range r.writers {
		writers = append(writers, w)
	}
	r.mu.Unlock()
	var err error
	for _, w := range writers {
		err = errors.Join(err, w.Flush(ctx))
	}
	return err
}
