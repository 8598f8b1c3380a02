package callers

import (
	"cmp"
	"time"
)

// longAgo is a deadline in the past: a read that is blocked returns at once.
var longAgo = time.Unix(1, 0)

// setHeadDeadline limits the time to read a head: net/http does so only once it has
// four bytes of it. It is called with mu held.
func (c *conn) setHeadDeadline(now time.Time) {
	c.requested = now.Add(cmp.Or(c.headTimeout, defaultHeaderTimeout))
	_ = c.Conn.SetReadDeadline(c.requested)
}

// SetWriteDeadline sets the handler's own deadline for writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of a request that is being received. net/http
// sets none while it waits for a request. A head that has begun keeps the deadline that
// it has until net/http sets another one.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateReceiving && c.framer.headBegun() && t.IsZero() {
		return nil
	}
	c.requested = t
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
