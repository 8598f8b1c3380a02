package audit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
)

const (
	defaultFlushAfter   = 20 * time.Millisecond
	defaultBatchRecords = 512
	defaultBufferLimit  = 1 << 16
	defaultCallTimeout  = 2 * time.Second
	// firstBackoff and lastBackoff bound the wait after every control VM has
	// refused a batch.
	firstBackoff = 10 * time.Millisecond
	lastBackoff  = time.Second
	// returnAfter is how long a writer stays with a control VM that is not the
	// nearest before it tries the nearest again.
	returnAfter = 30 * time.Second
)

var (
	writerRefused = metrics.NewCounter(`damask_audit_records_refused_total`)
	writerResent  = metrics.NewCounter(`damask_audit_batches_resent_total`)
	writerBatches = metrics.NewCounter(`damask_audit_batches_total`)
	writerRecords = metrics.NewCounter(`damask_audit_records_total`)
)

// WriterOptions configure a Writer. The zero value of a field means its
// default.
type WriterOptions struct {
	// FlushAfter is how long an asynchronous record waits for others.
	FlushAfter time.Duration
	// BatchRecords is the most records of one batch; as many waiting records
	// are sent at once.
	BatchRecords int
	// BufferRecords is how many records may wait. Begin is refused at three
	// quarters of it, so that requests under way can still record their end.
	BufferRecords int
	// CallTimeout bounds one attempt to send a batch.
	CallTimeout time.Duration
	// Async makes Begin return at once. The session's reserved sequence
	// numbers then bound what is unknown after a crash.
	Async bool
}

func (o WriterOptions) withDefaults() WriterOptions {
	if o.FlushAfter == 0 {
		o.FlushAfter = defaultFlushAfter
	}
	if o.BatchRecords == 0 {
		o.BatchRecords = defaultBatchRecords
	}
	if o.BufferRecords == 0 {
		o.BufferRecords = defaultBufferLimit
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	return o
}

// Check rejects options that cannot work.
func (o WriterOptions) Check() error {
	o = o.withDefaults()
	if o.FlushAfter < 0 || o.CallTimeout < 0 {
		return fmt.Errorf("audit: a time in %+v is negative; correct it", o)
	}
	if o.BatchRecords < 1 || o.BatchRecords > maxBatchRecords || o.BufferRecords < 4 {
		return fmt.Errorf("audit: batches of %d records and a buffer of %d; use 1 to %d and at least 4", o.BatchRecords, o.BufferRecords, maxBatchRecords)
	}
	return nil
}

// Writer sends the records of one session to control VMs. One batch is under
// way at a time, so the records of a request are stored in their order. It is
// safe for concurrent use.
type Writer struct {
	session ids.SessionID
	caller  transport.Caller
	addrs   []string
	options WriterOptions

	wake   chan struct{} // a batch should be sent now
	arm    chan struct{} // a first record waits
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	closed  bool
	buffer  []buffered
	urgent  int // buffered records that a caller waits for
	sending int // records of the batch under way
}

// buffered is a record that waits, or a mark of Flush without a record.
type buffered struct {
	raw     cbor.RawMessage
	durable chan struct{} // closed when the record is durable; may be nil
}

// NewWriter starts a writer. The addresses are those of the control VMs,
// nearest first.
func NewWriter(session ids.SessionID, caller transport.Caller, addrs []string, o WriterOptions) (*Writer, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if len(addrs) == 0 {
		return nil, fmt.Errorf("audit: the writer of %s has no control VM; set the control addresses", session)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		session: session, caller: caller, addrs: addrs, options: o.withDefaults(),
		wake: make(chan struct{}, 1), arm: make(chan struct{}, 1),
		ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
	go w.run()
	return w, nil
}

// Begin records the begin of a request and returns when it is durable on one
// control VM. If ctx ends first, the record may still become durable, so the
// caller then records an End that says that nothing ran.
func (w *Writer) Begin(ctx context.Context, r Record) error {
	limit := w.options.BufferRecords / 4 * 3
	if w.options.Async {
		return w.add(r, limit, nil)
	}
	durable := make(chan struct{})
	if err := w.add(r, limit, durable); err != nil {
		return err
	}
	w.signal(w.wake)
	return w.await(ctx, durable)
}

// Append records an event without waiting. Records of one request are stored
// in the order in which they were passed. A full buffer gives a *FullError.
func (w *Writer) Append(r Record) error {
	return w.add(r, w.options.BufferRecords, nil)
}

// Flush returns when every record passed before is durable.
func (w *Writer) Flush(ctx context.Context) error {
	mark := buffered{durable: make(chan struct{})}
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return ErrClosed
	}
	w.buffer = append(w.buffer, mark)
	w.urgent++
	w.mu.Unlock()
	w.signal(w.wake)
	return w.await(ctx, mark.durable)
}

func (w *Writer) await(ctx context.Context, durable chan struct{}) error {
	select {
	case <-durable:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("audit: the record is not known to be durable: %w", ctx.Err())
	case <-w.done:
		select {
		case <-durable:
			return nil
		default:
			return ErrClosed
		}
	}
}

// add puts a record into the buffer.
func (w *Writer) add(r Record, limit int, durable chan struct{}) error {
	if r.Request.Session != w.session {
		return fmt.Errorf("audit: the record of %s was passed to the writer of session %s", r.Request, w.session)
	}
	raw, err := encodeRecord(&r)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return ErrClosed
	}
	waiting := len(w.buffer) + w.sending
	if waiting >= limit {
		writerRefused.Inc()
		return &FullError{Records: waiting, Limit: limit}
	}
	w.buffer = append(w.buffer, buffered{raw, durable})
	if durable != nil {
		w.urgent++
	}
	switch len(w.buffer) {
	case 1:
		w.signal(w.arm)
	case w.options.BatchRecords:
		w.signal(w.wake)
	}
	return nil
}

func (w *Writer) signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Waiting is the number of records that are not yet known to be durable.
func (w *Writer) Waiting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buffer) + w.sending
}

// Close stops the writer. Flush comes first in a graceful shutdown; records
// that still wait are given up, and their number is in the error.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	<-w.done
	if n := w.Waiting(); n > 0 {
		return fmt.Errorf("audit: the writer of %s was closed with %d records that are not known to be durable; call Flush first", w.session, n)
	}
	return nil
}
