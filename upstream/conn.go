package upstream

import (
	"cmp"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Guard is called directly before the first byte of a request is written. If it
// returns an error, the call ends and nothing is sent.
type Guard func() error

// guardError wraps an error returned by a Guard.
type guardError struct{ err error }

func (e *guardError) Error() string { return e.err.Error() }
func (e *guardError) Unwrap() error { return e.err }

// errNoProgress is the error of a read that exceeds the progress timeout.
var errNoProgress = errors.New("no progress on the connection within the progress timeout")

// progressConn is a connection whose reads fail if no byte arrives within the
// progress timeout; a timeout of 0 means none. If a network device on the path has
// dropped its state of the connection, a healthy upstream is still reachable over
// a new one, so only this connection fails.
type progressConn struct {
	net.Conn
	timeout time.Duration
	guard   Guard
	written atomic.Int64
	// writing is held during a write. writeErr is the error of the last one.
	writing  sync.Mutex
	writeErr error
}

// Write calls the guard before it writes the first byte.
func (c *progressConn) Write(b []byte) (int, error) {
	if c.guard != nil && c.written.Load() == 0 {
		if err := c.guard(); err != nil {
			return 0, &guardError{err}
		}
	}
	n, err := c.write(b)
	c.written.Add(int64(n))
	if err != nil {
		return n, err
	}
	// A read may have been pending since the connection became idle. Its timeout
	// counts from this write. It may also have ended the connection since: the bytes
	// are written all the same.
	_ = c.extendDeadline()
	return n, nil
}

func (c *progressConn) write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.writeErr = err
	return n, err
}

// writeError returns the error of the last write, once that has ended.
func (c *progressConn) writeError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// extendDeadline moves the read deadline to one progress timeout from now.
func (c *progressConn) extendDeadline() error {
	if c.timeout <= 0 {
		return nil
	}
	return c.SetReadDeadline(time.Now().Add(c.timeout))
}

// Read waits for at most the progress timeout. Each read moves the deadline, so
// any received byte counts as progress. After a write that failed there is no orderly
// end: the kernel reports a reset once, and the write may have got it.
func (c *progressConn) Read(b []byte) (int, error) {
	if err := c.extendDeadline(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	var ne net.Error
	if n == 0 && errors.As(err, &ne) && ne.Timeout() {
		return 0, errNoProgress
	}
	if errors.Is(err, io.EOF) {
		err = cmp.Or(c.writeError(), err)
	}
	return n, err
}
