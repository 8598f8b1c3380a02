package exchange

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/buffers"
)

// exchange is one request and its response on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	maxIdle int
	// notifyStep follows the exchange. The request itself is not held: its body may
	// be large, and the response may be read for long.
	notifyStep func(Step)
	// ctx is the context of the caller. Its end closes the connection at once,
	// whoever is busy with the exchange: the peer may work on until then.
	ctx context.Context
	// stopContextWatch stops that. It returns false if the context has ended.
	stopContextWatch func() bool
	bytesReadBefore  int64
	// sawForeign is true once a response to another request was read. More of them
	// may follow.
	sawForeign bool
	// written is closed at the end of a write that runs concurrently with the reading of
	// the response, and writeErr is its result; nil if the request was written before.
	written   chan struct{}
	writeErr  error
	endOnce   sync.Once
	closeOnce sync.Once
}

// maxSequentialWriteBytes is the size up to which a request is written before its
// response is read. The peer may answer a larger one before all of it is sent.
const maxSequentialWriteBytes = 16 << 10

// roundTrip writes the request, whose head is encoded, and returns its response.
func (e *exchange) roundTrip(r *Request, head []byte) (*http.Response, error) {
	if err := e.writeRequest(r, head); err != nil {
		return nil, err
	}
	for range maxResponsesRead {
		resp, err := e.conn.readHead(r, e.pool.memory)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		match := r.match(resp)
		if match == Unidentified && e.conn.reused {
			return nil, errUnidentified
		}
		if match != Foreign {
			e.notifyStep(StepAnswered)
			resp.Body = &responseBody{ReadCloser: resp.Body, exchange: e, response: resp}
			return resp, nil
		}
		e.sawForeign = true
		if err := discard(resp); err != nil {
			return nil, errors.Join(errNoMatchingResponse, err)
		}
	}
	return nil, errNoMatchingResponse
}

// writeRequest writes the request. A large one is written while its response is
// read.
func (e *exchange) writeRequest(r *Request, head []byte) error {
	write := func() error {
		defer r.notifyBodyRead()
		err := r.write(e.conn, head)
		if err == nil {
			r.notifySent()
		}
		return err
	}
	if len(head)+r.bodyLen() <= maxSequentialWriteBytes {
		return write()
	}
	e.written = make(chan struct{})
	go func() {
		defer close(e.written)
		e.writeErr = write()
	}()
	return nil
}

// discard reads a response to another request to its end. It fails if no further
// response can follow on the connection.
func discard(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBytes+1))
	switch {
	case err != nil:
		return err
	case n > maxDiscardedBytes:
		return fmt.Errorf("one of them exceeds %d bytes", maxDiscardedBytes)
	case resp.Close:
		return errors.New("the peer closes the connection")
	}
	return nil
}

// ReadBody reads the whole body of a response. It fails if that exceeds the limit in
// bytes.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = fmt.Errorf("exchange: the response exceeds %d bytes; look at its sender's log", limit)
	}
	return b, err
}

// EndsWithConnection reports whether a response has no length and no chunks, so that
// only the end of its connection ends it. An orderly end may be one that cut it short.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// ReadCounted is ReadBody for a body that an account counts. It fails with a
// *buffers.FullError if the body finds no room.
func ReadCounted(resp *http.Response, limit int64, account *buffers.Account) ([]byte, error) {
	counted := *resp
	counted.Body = io.NopCloser(account.Reader(resp.Body))
	return ReadBody(&counted, limit)
}

// Abandon closes the connection of a response that Pool.Do has returned, so that
// no other request is sent on it. The body must still be closed.
func Abandon(resp *http.Response) {
	if b, ok := resp.Body.(*responseBody); ok {
		b.exchange.abandon()
	}
}

// abandon closes the connection.
func (e *exchange) abandon() {
	e.endOnce.Do(func() {
		e.stopContextWatch()
		e.closeConn()
	})
}

// closeConn closes the connection. It may be called from any goroutine.
func (e *exchange) closeConn() {
	e.closeOnce.Do(func() {
		_ = e.conn.Close()
		e.notifyStep(StepEnded)
	})
}

// release returns the connection to the pool if both the request and the response
// are complete, no response to another request came before and no data follows.
// Otherwise, it closes the connection.
func (e *exchange) release(resp *http.Response) {
	e.endOnce.Do(func() {
		inTime := e.stopContextWatch()
		if !inTime || resp.Close || e.sawForeign || !e.writeSucceeded() || e.conn.hasBufferedData() {
			e.closeConn()
			return
		}
		e.conn.reused = true
		e.conn.setExpiry(time.Now(), resp.Header)
		e.pool.putIdle(e.conn, e.maxIdle)
		e.notifyStep(StepEnded)
	})
}

func (e *exchange) writeSucceeded() bool {
	if e.written == nil {
		return true
	}
	select {
	case <-e.written:
		return e.writeErr == nil
	default:
		return false
	}
}

// awaitWritten waits until the whole request is written. The end of the context ends
// the write.
func (e *exchange) awaitWritten() error {
	if e.written == nil {
		return nil
	}
	<-e.written
	if e.writeErr != nil {
		return fmt.Errorf("the connection ended before the request was written: %w", e.writeErr)
	}
	return nil
}

// responseBody is the body of a response. Closing it releases the connection.
type responseBody struct {
	io.ReadCloser
	exchange   *exchange
	response   *http.Response
	reachedEOF bool
}

// Read reads from the body and records whether its end was reached. The end of a
// connection ends a body only if the request was written before: the kernel reports a
// reset once, to the write or to the read, and the other one sees an orderly end.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && EndsWithConnection(b.response) {
		err = cmp.Or(b.exchange.awaitWritten(), err)
	}
	switch {
	case errors.Is(err, io.EOF):
		b.reachedEOF = true
	case err != nil && b.exchange.ctx.Err() != nil:
		err = b.exchange.ctx.Err()
	}
	return n, err
}

// Close releases the connection if the body was read to its end, and closes the
// connection otherwise.
func (b *responseBody) Close() error {
	if b.reachedEOF {
		b.exchange.release(b.response)
	} else {
		b.exchange.abandon()
	}
	return nil
}
