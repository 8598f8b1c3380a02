package callers

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// conn is a client connection. net/http may close a connection that it considers
// idle although it has already read the next request. conn serializes the two
// decisions, so that no request of a closed connection reaches the handler.
type conn struct {
	net.Conn

	mu sync.Mutex
	// answered is set once a request has been answered, active while one is being
	// handled, and closed when the connection accepts no more requests.
	answered bool
	active   bool
	closed   bool
}

// CloseWrite closes the sending direction. net/http uses it so that the client
// can still read the last response.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return c.Conn.Close()
}

// beginRequest marks the connection as active. It returns false if the
// connection was closed as idle.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = !c.closed
	return c.active
}

// endRequest marks the connection as idle after the response was written.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered, c.active = true, false
}

// closeIdle closes the connection unless a request is being handled or none has
// arrived yet: the first request of a new connection is always served.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered && !c.active {
		c.closed = true
		_ = c.Conn.Close()
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFromRequest returns the connection of a request, nil if there is none.
func connFromRequest(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
