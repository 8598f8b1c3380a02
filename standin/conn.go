package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// conn is a connection that can be frozen.
type conn struct {
	net.Conn
	server *Server

	mu     sync.Mutex
	frozen bool
	closed chan struct{}
	once   sync.Once
}

func newConn(raw net.Conn, s *Server) *conn {
	return &conn{Conn: raw, server: s, closed: make(chan struct{})}
}

func (c *conn) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = true
}

func (c *conn) isFrozen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frozen
}

// Read drops what arrives on a frozen connection and waits until it is closed.
// A read that was waiting when the connection was frozen ends here too.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isFrozen() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write accepts and drops what is written to a frozen connection, as a send
// buffer does whose peer has gone silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.isFrozen() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection, frozen or not.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.server.remove(c)
	})
	return c.Conn.Close()
}

// reset closes the connection so that the peer gets a reset, not an end.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, nil if Serve does not serve it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
