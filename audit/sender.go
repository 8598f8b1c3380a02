package audit

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/transport"
)

// route is the sender's choice of a control VM.
type route struct {
	index   int // into the addresses, 0 is the nearest
	movedAt time.Time
	backoff time.Duration
}

// run sends batches until the writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	flush := time.NewTimer(0)
	<-flush.C
	var r route
	for number := uint64(1); ; {
		select {
		case <-w.arm:
			flush.Reset(w.options.FlushAfter)
			continue
		case <-flush.C:
		case <-w.wake:
		case <-w.ctx.Done():
			return
		}
		for batch := w.take(); len(batch) > 0; batch = w.take() {
			used, ok := w.deliver(number, batch, &r)
			if !ok {
				return
			}
			if used {
				number++
			}
			if !w.settle(batch) {
				flush.Reset(w.options.FlushAfter)
				break
			}
		}
	}
}

// take removes the next batch from the buffer.
func (w *Writer) take() []buffered {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.buffer), w.options.BatchRecords)
	batch := w.buffer[:n:n]
	w.buffer = w.buffer[n:]
	if len(w.buffer) == 0 {
		w.buffer = nil
	}
	w.sending = n
	for _, b := range batch {
		if b.durable != nil {
			w.urgent--
		}
	}
	return batch
}

// settle reports a batch as durable. It says whether the records that came in
// meanwhile are sent at once or wait for the flush timer.
func (w *Writer) settle(batch []buffered) (sendMore bool) {
	w.mu.Lock()
	w.sending = 0
	sendMore = w.urgent > 0 || len(w.buffer) >= w.options.BatchRecords
	w.mu.Unlock()
	for _, b := range batch {
		if b.durable != nil {
			close(b.durable)
		}
	}
	return sendMore
}

// deliver sends a batch until a control VM has it. Every attempt carries the
// same number and bytes. Used is false if the batch has marks only; ok is false
// if the writer was closed.
func (w *Writer) deliver(number uint64, batch []buffered, r *route) (used, ok bool) {
	e := &encodedBatch{Session: w.session, Number: number}
	for _, b := range batch {
		if b.raw != nil {
			e.Records = append(e.Records, b.raw)
		}
	}
	if len(e.Records) == 0 {
		return false, true
	}
	body, err := e.message()
	if err != nil {
		// The records were encoded before; a batch of them always encodes.
		panic(err)
	}
	writerBatches.Inc()
	writerRecords.Add(len(e.Records))
	r.preferNearest(time.Now())
	for failures := 1; ; failures++ {
		if w.send(r.addr(w.addrs), body) == nil {
			r.backoff = 0
			return true, true
		}
		writerResent.Inc()
		r.next(len(w.addrs), time.Now())
		if failures%len(w.addrs) != 0 {
			continue
		}
		if !w.pause(r) {
			return true, false
		}
	}
}

// message encodes the batch for a control VM.
func (e *encodedBatch) message() ([]byte, error) {
	if err := e.seal(); err != nil {
		return nil, err
	}
	return encMode.Marshal(appendMessage{Batch: e})
}

func (w *Writer) send(addr string, body []byte) error {
	ctx, cancel := context.WithTimeout(w.ctx, w.options.CallTimeout)
	defer cancel()
	_, err := w.caller.Call(ctx, addr, transport.MethodAuditAppend, body)
	return err
}

// pause waits after every control VM has failed.
func (w *Writer) pause(r *route) bool {
	r.backoff = min(max(2*r.backoff, firstBackoff), lastBackoff)
	timer := time.NewTimer(r.backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func (r *route) addr(addrs []string) string { return addrs[r.index] }

// next moves on to the next control VM.
func (r *route) next(addrs int, now time.Time) {
	r.index = (r.index + 1) % addrs
	r.movedAt = now
}

// preferNearest returns to the nearest control VM after a while.
func (r *route) preferNearest(now time.Time) {
	if r.index != 0 && now.Sub(r.movedAt) >= returnAfter {
		r.index = 0
	}
}
