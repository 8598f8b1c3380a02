package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request is a request of a client.
type request struct {
	method  string
	path    string
	attempt string
	headers []string
	body    string
}

// bytes returns the request as it is sent.
func (q *request) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\n", q.method, q.path, hostName, q.attempt, tenantKey)
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return []byte(b.String())
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a *answer) String() string {
	if a.err != nil {
		return "no whole answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, %d bytes, stamp %q", a.status, len(a.body), a.header.Get("X-Response-Stamp"))
}

// send sends a request on a new connection and reads the whole answer.
func send(addr string, q *request, limit time.Duration) *answer {
	return sendFrom(&net.Dialer{Timeout: time.Second}, addr, q, limit)
}

// sendFrom is send with a dialer.
func sendFrom(dialer *net.Dialer, addr string, q *request, limit time.Duration) *answer {
	c, err := dialer.Dial("tcp", addr)
	if err != nil {
		return &answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := c.Write(q.bytes()); err != nil {
		return &answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), q.method)
}

func readAnswer(r *bufio.Reader, method string) *answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return &answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return &answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
