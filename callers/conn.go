package callers

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// conn is a caller's connection. net/http closes connections that it takes to be
// idle while the next request may have been read already; conn decides between
// the two, so that no request is passed on whose connection was closed.
type conn struct {
	net.Conn

	mu sync.Mutex
	// used says that a request was answered, busy that one is being answered,
	// closed that the connection takes no more.
	used   bool
	busy   bool
	closed bool
}

// CloseWrite ends the sending direction, by which net/http lets the caller read
// a last answer.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return c.Conn.Close()
}

// begin claims the connection for a request. It is false if the connection was
// closed as idle.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.closed
	return c.busy
}

// end gives the connection back after the answer was written.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.busy = true, false
}

// closeIdle closes the connection unless a request is being answered or it waits
// for its first one: a caller who has just been sent here is served.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used && !c.busy {
		c.closed = true
		_ = c.Conn.Close()
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf gives the connection of a request.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
