package audit

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/transport"
)

// destination selects the control VM that the next batch is sent to.
type destination struct {
	index      int // into the addresses; 0 is the nearest
	switchedAt time.Time
	backoff    time.Duration
}

// run sends batches until the writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	flush := time.NewTimer(0)
	<-flush.C
	var d destination
	for number := uint64(1); ; {
		select {
		case <-w.armTimer:
			flush.Reset(w.options.FlushAfter)
			continue
		case <-flush.C:
		case <-w.sendNow:
		case <-w.ctx.Done():
			return
		}
		for batch := w.takeBatch(); len(batch) > 0; batch = w.takeBatch() {
			used, ok := w.deliver(number, batch, &d)
			if !ok {
				return
			}
			if used {
				number++
			}
			if !w.acknowledge(batch) {
				flush.Reset(w.options.FlushAfter)
				break
			}
		}
	}
}

// takeBatch removes the next batch from the buffer.
func (w *Writer) takeBatch() []bufferedRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.buffer), w.options.BatchRecords)
	batch := w.buffer[:n:n]
	w.buffer = w.buffer[n:]
	if len(w.buffer) == 0 {
		w.buffer = nil
	}
	w.inFlight = n
	for _, b := range batch {
		if b.durable != nil {
			w.awaited--
		}
	}
	return batch
}

// acknowledge marks a batch as durable. It reports whether the records buffered
// since are sent at once instead of waiting for the flush timer.
func (w *Writer) acknowledge(batch []bufferedRecord) (sendMore bool) {
	w.mu.Lock()
	w.inFlight = 0
	sendMore = w.awaited > 0 || len(w.buffer) >= w.options.BatchRecords
	w.mu.Unlock()
	for _, b := range batch {
		if b.durable != nil {
			close(b.durable)
		}
	}
	return sendMore
}

// deliver sends a batch until a control VM has stored it. Every attempt has the
// same number and bytes. Used is false if the batch holds only the markers of
// Flush, which take no batch number; ok is false if the writer was closed.
func (w *Writer) deliver(number uint64, batch []bufferedRecord, d *destination) (used, ok bool) {
	e := &encodedBatch{Session: w.session, Number: number}
	for _, b := range batch {
		if b.raw != nil {
			e.Records = append(e.Records, b.raw)
		}
	}
	if len(e.Records) == 0 {
		return false, true
	}
	body, err := e.encodeMessage()
	if err != nil {
		// Each record was encoded when it was added, so this cannot fail.
		panic(err)
	}
	batchesSent.Inc()
	recordsSent.Add(len(e.Records))
	d.preferNearest(time.Now())
	for failures := 1; ; failures++ {
		if w.send(d.addr(w.addrs), body) == nil {
			d.backoff = 0
			return true, true
		}
		batchesResent.Inc()
		d.advance(len(w.addrs), time.Now())
		if failures%len(w.addrs) != 0 {
			continue
		}
		if !w.waitBackoff(d) {
			return true, false
		}
	}
}

// encodeMessage packs the batch and encodes it as an append message.
func (e *encodedBatch) encodeMessage() ([]byte, error) {
	if err := e.pack(); err != nil {
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

// waitBackoff waits after every control VM has failed. It reports false if the
// writer was closed.
func (w *Writer) waitBackoff(d *destination) bool {
	d.backoff = min(max(2*d.backoff, minBackoff), maxBackoff)
	timer := time.NewTimer(d.backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func (d *destination) addr(addrs []string) string { return addrs[d.index] }

// advance switches to the next control VM.
func (d *destination) advance(addrs int, now time.Time) {
	d.index = (d.index + 1) % addrs
	d.switchedAt = now
}

// preferNearest switches back to the nearest control VM after
// preferNearestAfter.
func (d *destination) preferNearest(now time.Time) {
	if d.index != 0 && now.Sub(d.switchedAt) >= preferNearestAfter {
		d.index = 0
	}
}
