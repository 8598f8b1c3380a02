package upstream

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// Guard is checked directly before the first byte of a request is written. An
// error stops the call with nothing sent.
type Guard func() error

// errGuard wraps the error of a Guard.
type errGuard struct{ err error }

func (e *errGuard) Error() string { return e.err.Error() }
func (e *errGuard) Unwrap() error { return e.err }

// errSilent is what a read gives on a connection without progress.
var errSilent = errors.New("no progress on the connection within the progress timeout")

// progressConn is a connection that fails reads after a time without any
// received byte. A healthy upstream behind a connection that something in
// between has lost track of is still reachable by a new connection, so only
// this connection is given up.
type progressConn struct {
	net.Conn
	timeout time.Duration
	guard   Guard
	written atomic.Int64
}

// Write checks the guard before the first byte.
func (c *progressConn) Write(b []byte) (int, error) {
	if c.guard != nil && c.written.Load() == 0 {
		if err := c.guard(); err != nil {
			return 0, &errGuard{err}
		}
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	if err != nil {
		return n, err
	}
	// A read may be pending since the connection became idle; the time that
	// it waits counts from this write.
	return n, c.extend()
}

// extend lets reads wait for another progress timeout.
func (c *progressConn) extend() error {
	if c.timeout <= 0 {
		return nil
	}
	return c.SetReadDeadline(time.Now().Add(c.timeout))
}

// Read waits for at most the progress timeout. The deadline is moved with each
// read, so any received byte counts as progress.
func (c *progressConn) Read(b []byte) (int, error) {
	if err := c.extend(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	var ne net.Error
	if n == 0 && errors.As(err, &ne) && ne.Timeout() {
		return 0, errSilent
	}
	return n, err
}
