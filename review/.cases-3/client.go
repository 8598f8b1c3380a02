package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
	took     time.Duration
}

func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("%d stamp=%q retry-after=%q complete=%v err=%v", a.status, a.header.Get("X-Response-Stamp"), a.header.Get("Retry-After"), a.complete, a.err)
}

// attemptID returns a new id of a client attempt.
func attemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// clientRequest is one client attempt.
type clientRequest struct {
	id, method, host, path string
	header                 []string
	body                   string
	deadline               time.Duration
}

func (r *clientRequest) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	for _, h := range r.header {
		b.WriteString(h + "\r\n")
	}
	if r.body != "" || r.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return []byte(b.String())
}

// send sends a request on a new connection and waits for the whole answer.
func send(addr string, r *clientRequest) (a *answer) {
	began := time.Now()
	a = &answer{}
	defer func() { a.took = time.Since(began) }()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(r.deadline + 200*time.Millisecond))
	if _, err := c.Write(r.bytes()); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	b, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(b), err, err == nil
	if errors.Is(err, io.ErrUnexpectedEOF) {
		a.complete = false
	}
	return a
}
