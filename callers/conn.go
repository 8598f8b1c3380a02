package callers

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"damaskbridge.example/damaskbridge/internal/sockopt"
)

// connState is what a connection is doing.
type connState int

const (
	// stateNew: no byte of the first request was read.
	stateNew connState = iota
	// stateReceiving: part of a request's head was read.
	stateReceiving
	// stateActive: a request is being handled.
	stateActive
	// stateWaiting: a request was answered and no byte of the next one was read.
	stateWaiting
)

// conn is a client connection. The goroutine that reads it is the only one that
// ends it between two requests, and only if nothing of the next one has arrived.
// net/http alone would close a connection while its next request is being read,
// or after its idle timeout although the request already waits in the kernel.
type conn struct {
	net.Conn
	// server is the HTTP server that handles the connection.
	server *limitedServer
	// headTimeout limits the time to read a head; 0 stands for the default.
	headTimeout time.Duration

	mu    sync.Mutex
	state connState
	// requested is the read deadline that net/http has set. It is not in force
	// while the connection waits.
	requested time.Time
	// waitingSince is when the last response was complete, idleTimeout how long
	// the connection waits from then on.
	waitingSince time.Time
	idleTimeout  time.Duration
	// closeWaiting means that the connection is to be closed instead of waiting.
	closeWaiting bool
	// handled is true once the handler has returned, or net/http has refused the
	// request. If the handler aborted the response, abortReason says why.
	handled     bool
	abortReason unansweredReason
	// writeFailed is true if part of the response could not be written.
	writeFailed bool
}

// longAgo is a deadline in the past: a read that is blocked returns at once.
var longAgo = time.Unix(1, 0)

// Read reads from the connection. It returns io.EOF when the connection has
// waited for too long.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readLate(b, err)
	}
	if n > 0 {
		c.receive()
	}
	return n, err
}

// readLate reads what arrived before the deadline was noticed: a process that was
// frozen or busy finds the deadline over and the request in the kernel's buffer.
func (c *conn) readLate(b []byte, timeout error) (int, error) {
	c.mu.Lock()
	state := c.state
	raised := state == stateWaiting && time.Now().Before(c.deadline())
	c.mu.Unlock()
	switch {
	case state == stateActive:
		// net/http ends its background read in this way.
		return 0, timeout
	case c.hasUnreadData():
	case raised:
		if err := c.restoreDeadline(); err != nil {
			return 0, err
		}
		return c.Read(b)
	case state == stateWaiting:
		return 0, io.EOF
	default:
		return 0, timeout
	}
	// This read does not block, as no other goroutine reads the connection.
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	return n, c.restoreDeadline()
}

func (c *conn) hasUnreadData() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	unread, err := sockopt.PeekUnread(s)
	return err == nil && unread == sockopt.UnreadData
}

// receive records that bytes were read. The first ones of a head end the wait: net/http
// sets the deadline of a head only once it has four bytes of it.
func (c *conn) receive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateActive || c.state == stateReceiving {
		return
	}
	waited := c.state == stateWaiting
	c.state, c.handled, c.abortReason, c.writeFailed = stateReceiving, false, "", false
	if waited {
		c.requested = time.Now().Add(cmp.Or(c.headTimeout, defaultHeaderTimeout))
		_ = c.Conn.SetReadDeadline(c.requested)
	}
}

// Write writes to the connection. While a head is being read, only net/http writes:
// its refusal of the request.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.handled = c.handled || c.state == stateReceiving
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.mu.Lock()
		c.writeFailed = true
		c.mu.Unlock()
	}
	return n, err
}

// SetReadDeadline sets the deadline of a request that is being received. net/http
// sets none while it waits for a request, and one as soon as it has its first bytes,
// also if those were read together with the request before.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested = t
	if c.state == stateWaiting && !t.IsZero() {
		c.state = stateReceiving
	}
	return c.Conn.SetReadDeadline(c.deadline())
}

func (c *conn) restoreDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Conn.SetReadDeadline(c.deadline())
}

// deadline returns the read deadline in force. It is called with mu held.
func (c *conn) deadline() time.Time {
	switch {
	case c.state != stateWaiting:
		return c.requested
	case c.closeWaiting:
		return longAgo
	}
	return c.waitingSince.Add(c.idleTimeout)
}

// CloseWrite closes the sending direction. net/http uses it so that the client
// can still read the last response.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return c.Conn.Close()
}

// beginRequest marks the connection as active.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.handled, c.abortReason, c.writeFailed = stateActive, false, "", false
}

// finishHandler records that the handler has returned, or why it has aborted the
// response.
func (c *conn) finishHandler(abortReason unansweredReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.abortReason = abortReason == "", abortReason
}

// endRequest lets the connection wait for its next request after the response was
// written.
func (c *conn) endRequest(now time.Time, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.waitingSince, c.idleTimeout = stateWaiting, now, idleTimeout
}

// raiseIdleTimeout lets a connection that waits do so for longer. It never
// shortens the wait: the client may rely on what was in force at its last
// response.
func (c *conn) raiseIdleTimeout(idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateWaiting || idleTimeout <= c.idleTimeout {
		return
	}
	c.idleTimeout = idleTimeout
	_ = c.Conn.SetReadDeadline(c.deadline())
}

// closeIdle has the connection closed once it waits, unless its next request has
// arrived by then. The first request of a new connection is always served.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWaiting = true
	if c.state == stateWaiting {
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// unanswered returns why a connection that has been closed leaves a request without
// a whole response, or "" if it does not. stopped says that the server has closed it.
func (c *conn) unanswered(stopped bool) unansweredReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := c.handled && !c.writeFailed
	switch {
	case answered || c.state == stateNew || c.state == stateWaiting:
		return ""
	case stopped:
		return timeToStopOver
	case c.state == stateReceiving:
		return headIncomplete
	case c.abortReason != "":
		return c.abortReason
	}
	return callerLeft
}

// connKey is the context key of a request's connection.
type connKey struct{}

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFromRequest returns the connection of a request.
func connFromRequest(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
