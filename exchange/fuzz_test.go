package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzKeptConnection guards against bytes on a kept connection that end the process,
// or that are taken for the response although they name no request or another one.
func FuzzKeptConnection(f *testing.F) {
	f.Add([]byte(responseText("a", "whole")))
	f.Add([]byte(responseText("b", "another") + responseText("a", "whole")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhalf"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = far.Write(sent)
			}
		}()
		defer near.Close()
		c := &conn{Conn: near, addr: "peer", reused: true, expires: time.Now().Add(time.Hour)}
		c.reader = bufio.NewReaderSize(c, readBufferBytes)
		pool := NewPool()
		pool.idle["peer"] = []*conn{c}
		r := newRequest("a")
		r.Body, r.Method = nil, http.MethodGet
		resp, err := pool.Do(context.Background(), "peer", r)
		var e *Error
		if err != nil {
			if !errors.As(err, &e) || !e.Sent {
				t.Fatalf("not an error of a sent request: %v", err)
			}
			return
		}
		if resp.Header.Get("X-Id") != "a" {
			t.Fatalf("took the response %v", resp.Header)
		}
		body, err := io.ReadAll(resp.Body)
		if err == nil && len(resp.TransferEncoding) == 0 && !bytes.Contains(sent, body) {
			t.Fatalf("read %q of %q", body, sent)
		}
		_ = resp.Body.Close()
	})
}
