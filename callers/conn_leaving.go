package callers

import (
	"syscall"

	"damaskbridge.example/damaskbridge/internal/sockopt"
)

// watched returns the connection if its request has come whole and is being handled.
// net/http then reads to learn whether the client leaves, and would take the first byte
// of a next request for a sign that it stays.
func (c *conn) watched() (syscall.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateActive || c.framer.phase != phaseHead {
		return nil, false
	}
	s, ok := c.Conn.(syscall.Conn)
	return s, ok
}

// hasLeft reports whether the client has closed a kept connection before its next request
// is handled.
func (c *conn) hasLeft() bool {
	s, ok := c.Conn.(syscall.Conn)
	return ok && c.answered && sockopt.PeerClosed(s)
}
