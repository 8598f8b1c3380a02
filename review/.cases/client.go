package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a client with one connection that it keeps for many requests.
type client struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// call is one attempt of a client.
type call struct {
	id       string
	method   string
	host     string
	path     string
	deadline time.Duration
	header   map[string]string
	body     string
}

// answer is what a client saw of the answer to a call.
type answer struct {
	status int
	stamp  string
	body   string
	// err says why the answer is not complete, nil if it is.
	err error
}

func (a *answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, not complete: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete", a.status, len(a.body))
}

// do sends a call and reads the whole answer. It opens a connection if there is
// none.
func (c *client) do(k *call) *answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return &answer{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	a := c.exchange(k)
	if a.err != nil {
		c.close()
	}
	return a
}

func (c *client) exchange(k *call) *answer {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		k.method, k.path, k.host, k.id, k.deadline.Milliseconds(), apiKey)
	for name, value := range k.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if k.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(k.body))
	}
	b.WriteString("\r\n" + k.body)
	if err := c.conn.SetDeadline(time.Now().Add(k.deadline + time.Second)); err != nil {
		return &answer{err: err}
	}
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return &answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: k.method})
	if err != nil {
		return &answer{err: err}
	}
	a := &answer{status: resp.StatusCode, stamp: resp.Header.Get("X-Response-Stamp")}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.body, a.err = string(body), err
	if resp.Close {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
