package exchange

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// exchange is one request on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	maxIdle int
	// stop ends the watch of the caller's context.
	stop   func() bool
	before int64
	// written gets the result of a write that runs beside the reading.
	written chan error
	once    sync.Once
}

// writeAloneBytes is the size up to which a request is written before its
// response is read. A larger one may be answered before it is all sent.
const writeAloneBytes = 16 << 10

func (e *exchange) run(r *Request, encoded []byte) (*http.Response, error) {
	if len(encoded) <= writeAloneBytes {
		if _, err := e.conn.Write(encoded); err != nil {
			return nil, err
		}
		r.wasSent()
	} else {
		e.written = make(chan error, 1)
		go func() {
			_, err := e.conn.Write(encoded)
			if err == nil {
				r.wasSent()
			}
			e.written <- err
		}()
	}
	for range maxForeign {
		resp, err := http.ReadResponse(e.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if r.Match == nil || r.Match(resp) {
			resp.Body = &body{ReadCloser: resp.Body, exchange: e, response: resp}
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Join(errForeign, err)
		}
		if resp.Close {
			return nil, errForeign
		}
	}
	return nil, errForeign
}

// abandon closes the connection.
func (e *exchange) abandon() {
	e.once.Do(func() {
		e.stop()
		_ = e.conn.Close()
	})
}

// finish keeps the connection if the exchange is complete on both sides and
// nothing follows it.
func (e *exchange) finish(resp *http.Response) {
	e.once.Do(func() {
		inTime := e.stop()
		if !inTime || resp.Close || !e.isWritten() || e.conn.hasUnread() {
			_ = e.conn.Close()
			return
		}
		e.conn.keepUntil(time.Now(), resp.Header)
		e.pool.put(e.conn, e.maxIdle)
	})
}

func (e *exchange) isWritten() bool {
	if e.written == nil {
		return true
	}
	select {
	case err := <-e.written:
		return err == nil
	default:
		return false
	}
}

// body is the body of a response. Its end gives the connection back.
type body struct {
	io.ReadCloser
	exchange *exchange
	response *http.Response
	ended    bool
}

// Read reads the body and notes its proper end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// Close keeps the connection after a proper end and closes it otherwise.
func (b *body) Close() error {
	if b.ended {
		b.exchange.finish(b.response)
	} else {
		b.exchange.abandon()
	}
	return nil
}
