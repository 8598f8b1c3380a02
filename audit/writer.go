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
	// minBackoff and maxBackoff limit the wait after every control VM has
	// failed to take a batch.
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
	// preferNearestAfter is how long a writer uses another control VM before it
	// tries the nearest one again.
	preferNearestAfter = 30 * time.Second
)

var (
	recordsRefused = metrics.NewCounter(`damask_audit_records_refused_total`)
	batchesResent  = metrics.NewCounter(`damask_audit_batches_resent_total`)
	batchesSent    = metrics.NewCounter(`damask_audit_batches_total`)
	recordsSent    = metrics.NewCounter(`damask_audit_records_total`)
)

// WriterOptions configures a Writer. A zero field means its default.
type WriterOptions struct {
	// FlushAfter is how long an asynchronous record waits for others to share
	// its batch.
	FlushAfter time.Duration
	// BatchRecords is the maximum number of records in a batch. When that many
	// are buffered, they are sent at once.
	BatchRecords int
	// BufferRecords is the capacity of the buffer. Begin fails when three
	// quarters of it are used, so that running requests can still record their
	// end.
	BufferRecords int
	// CallTimeout limits one attempt to send a batch.
	CallTimeout time.Duration
	// Async makes Begin return without waiting for the disk. After a crash,
	// requests may be missing from the log, but the session's reserved sequence
	// numbers limit which.
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

// Check returns an error if an option is out of range.
func (o WriterOptions) Check() error {
	o = o.withDefaults()
	if o.FlushAfter < 0 || o.CallTimeout < 0 {
		return fmt.Errorf("audit: a duration in %+v is negative; set it to 0 or more", o)
	}
	if o.BatchRecords < 1 || o.BatchRecords > maxBatchRecords || o.BufferRecords < 4 {
		return fmt.Errorf("audit: batches of %d records with a buffer of %d records; use 1 to %d records for a batch and at least 4 for the buffer", o.BatchRecords, o.BufferRecords, maxBatchRecords)
	}
	return nil
}

// Writer sends the records of one session to control VMs. It sends one batch at
// a time, so the records of a request are stored in order. It is safe for
// concurrent use.
type Writer struct {
	session ids.SessionID
	caller  transport.Caller
	addrs   []string
	options WriterOptions

	sendNow  chan struct{} // signals that a batch must be sent at once
	armTimer chan struct{} // signals that the buffer got its first record
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}

	mu       sync.Mutex
	closed   bool
	buffer   []bufferedRecord
	awaited  int // number of buffered records that a caller waits for
	inFlight int // number of records in the batch that is being sent
}

// bufferedRecord is a record that waits to be sent, or a marker of Flush, which
// has no record.
type bufferedRecord struct {
	raw     cbor.RawMessage
	durable chan struct{} // closed when the record is durable; may be nil
}

// NewWriter starts a writer. addrs are the addresses of the control VMs,
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
		sendNow: make(chan struct{}, 1), armTimer: make(chan struct{}, 1),
		ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
	go w.run()
	return w, nil
}

// Begin records the start of a request and returns when the record is durable
// on one control VM. If ctx ends first, the record may still become durable, so
// the caller must then record an End that says that nothing ran.
func (w *Writer) Begin(ctx context.Context, r Record) error {
	limit := w.options.BufferRecords / 4 * 3
	if w.options.Async {
		return w.add(r, limit, nil)
	}
	durable := make(chan struct{})
	if err := w.add(r, limit, durable); err != nil {
		return err
	}
	w.notify(w.sendNow)
	return w.await(ctx, durable)
}

// Append buffers a record and returns without waiting. Records of one request
// are stored in the order of the calls. A full buffer gives a
// *BufferFullError.
func (w *Writer) Append(r Record) error {
	return w.add(r, w.options.BufferRecords, nil)
}

// Flush returns when every record passed before is durable.
func (w *Writer) Flush(ctx context.Context) error {
	mark := bufferedRecord{durable: make(chan struct{})}
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return ErrClosed
	}
	w.buffer = append(w.buffer, mark)
	w.awaited++
	w.mu.Unlock()
	w.notify(w.sendNow)
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

// add encodes a record and puts it into the buffer, unless limit records are
// waiting.
func (w *Writer) add(r Record, limit int, durable chan struct{}) error {
	if r.Request.Session != w.session {
		return fmt.Errorf("audit: a record of request %s was passed to the writer of session %s", r.Request, w.session)
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
	pending := len(w.buffer) + w.inFlight
	if pending >= limit {
		recordsRefused.Inc()
		return &BufferFullError{Records: pending, Limit: limit}
	}
	w.buffer = append(w.buffer, bufferedRecord{raw, durable})
	if durable != nil {
		w.awaited++
	}
	switch len(w.buffer) {
	case 1:
		w.notify(w.armTimer)
	case w.options.BatchRecords:
		w.notify(w.sendNow)
	}
	return nil
}

func (w *Writer) notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Pending returns the number of records that are not yet known to be durable.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buffer) + w.inFlight
}

// Close stops the writer and drops the records that still wait; the error has
// their number. Call Flush first for a graceful shutdown.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	<-w.done
	if n := w.Pending(); n > 0 {
		return fmt.Errorf("audit: the writer of %s was closed with %d records that are not known to be durable; call Flush first", w.session, n)
	}
	return nil
}
