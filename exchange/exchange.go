package exchange

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// exchange is one request and its response on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	maxIdle int
	// stopContextWatch stops the cancellation of the exchange by the context of
	// the caller. It returns false if the context has ended.
	stopContextWatch func() bool
	bytesReadBefore  int64
	// writeResult receives the result of a write that runs concurrently with the
	// reading of the response; nil if the request was written before.
	writeResult chan error
	endOnce     sync.Once
}

// maxSequentialWriteBytes is the size up to which a request is written before its
// response is read. The peer may answer a larger one before all of it is sent.
const maxSequentialWriteBytes = 16 << 10

// roundTrip writes the encoded request and returns its response.
func (e *exchange) roundTrip(r *Request, encoded []byte) (*http.Response, error) {
	if len(encoded) <= maxSequentialWriteBytes {
		if _, err := e.conn.Write(encoded); err != nil {
			return nil, err
		}
		r.notifySent()
	} else {
		e.writeResult = make(chan error, 1)
		go func() {
			_, err := e.conn.Write(encoded)
			if err == nil {
				r.notifySent()
			}
			e.writeResult <- err
		}()
	}
	for range maxResponsesRead {
		resp, err := http.ReadResponse(e.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if r.Match == nil || r.Match(resp) {
			resp.Body = &responseBody{ReadCloser: resp.Body, exchange: e, response: resp}
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Join(errNoMatchingResponse, err)
		}
		if resp.Close {
			return nil, errNoMatchingResponse
		}
	}
	return nil, errNoMatchingResponse
}

// abandon closes the connection.
func (e *exchange) abandon() {
	e.endOnce.Do(func() {
		e.stopContextWatch()
		_ = e.conn.Close()
	})
}

// release returns the connection to the pool if both the request and the response
// are complete and no data follows. Otherwise, it closes the connection.
func (e *exchange) release(resp *http.Response) {
	e.endOnce.Do(func() {
		inTime := e.stopContextWatch()
		if !inTime || resp.Close || !e.writeSucceeded() || e.conn.hasBufferedData() {
			_ = e.conn.Close()
			return
		}
		e.conn.setExpiry(time.Now(), resp.Header)
		e.pool.putIdle(e.conn, e.maxIdle)
	})
}

func (e *exchange) writeSucceeded() bool {
	if e.writeResult == nil {
		return true
	}
	select {
	case err := <-e.writeResult:
		return err == nil
	default:
		return false
	}
}

// responseBody is the body of a response. Closing it releases the connection.
type responseBody struct {
	io.ReadCloser
	exchange   *exchange
	response   *http.Response
	reachedEOF bool
}

// Read reads from the body and records whether its end was reached.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.reachedEOF = true
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
