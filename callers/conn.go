package callers

import (
	"bytes"
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

	"damaskbridge.example/damaskbridge/buffers"
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
	// address is the client's without its port.
	address string
	// writeTimeout limits a write for which the handler sets no deadline.
	writeTimeout time.Duration
	// headTimeout limits the time to read a head; 0 stands for the default.
	headTimeout time.Duration

	mu    sync.Mutex
	state connState
	// framer follows the bytes that net/http has got. ahead holds those that were read
	// and belong to a later part, so that net/http has not got them yet.
	framer framer
	ahead  []byte
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
	// headBegunAt is when the current request began to arrive.
	headBegunAt time.Time
	// head counts the head that is being read or handled.
	head      *buffers.Account
	headBytes int64
	// progressAt is when a byte was last read or written, writingSince when the write
	// began that has not ended yet, zero if none is under way.
	progressAt   time.Time
	writingSince time.Time
	// writeDeadline is the one that the handler has set, zero if none.
	writeDeadline time.Time
	// evicted is true once the connection was closed for a new one.
	evicted bool
	// headCut is true if the client has closed the connection inside a head.
	headCut bool
	// writeFailed is true if part of the response could not be written.
	writeFailed bool
	// answered is true once a response was complete. It belongs to the goroutine that
	// handles the requests.
	answered bool
	// misaligned is true once a response was complete and the end of its request's body
	// was not read. What net/http reads from then on is no request.
	misaligned bool
}

// Read reads from the connection. It returns io.EOF when the connection has
// waited for too long.
func (c *conn) Read(b []byte) (int, error) {
	if watched, ok := c.watched(); ok {
		return 0, cmp.Or(sockopt.AwaitPeerClosed(watched), io.EOF)
	}
	if n := c.takeAhead(b); n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readLate(b, err)
	}
	if n > 0 {
		var full bool
		if n, full = c.receive(b[:n]); full {
			c.refuseHead()
			return 0, io.EOF
		}
	}
	if errors.Is(err, io.EOF) {
		c.recordEnd()
	}
	return n, err
}

// recordEnd records that the client sends no more. What net/http writes after the part
// of a head is no answer: the client has left.
func (c *conn) recordEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headCut = c.state == stateReceiving && c.framer.headBegun()
}

// takeAhead hands out what was read before and not handed out, up to the end of a part.
func (c *conn) takeAhead(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 || len(b) == 0 {
		return 0
	}
	inHead := c.framer.phase == phaseHead
	n := c.framer.take(c.ahead[:min(len(b), len(c.ahead))])
	if inHead {
		// It fits into one read, so it needs no room that it may not find.
		c.countHead(c.ahead[:n])
	}
	copy(b, c.ahead[:n])
	c.ahead = c.ahead[n:]
	return n
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

// receive records bytes that were read, and returns how many of them may be handed
// out now, and whether they belong to a head that finds no room. The first ones of a
// head end the wait.
func (c *conn) receive(b []byte) (n int, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progressAt = time.Now()
	inHead := c.framer.phase == phaseHead
	n = c.framer.take(b)
	if inHead && !c.countHead(b[:n]) {
		return 0, true
	}
	if n < len(b) {
		c.ahead = bytes.Clone(b[n:])
	}
	switch c.state {
	case stateNew:
		c.beginHead()
	case stateWaiting:
		c.beginHead()
		c.setHeadDeadline(c.progressAt)
	}
	return n, false
}

// countHead counts bytes of a head with what their lines take once they are parsed. It
// returns false if they find no room. It is called with mu held.
func (c *conn) countHead(b []byte) bool {
	c.headBytes += int64(len(b)) + fieldBytes*int64(bytes.Count(b, []byte{'\n'}))
	return c.head.Resize(c.headBytes) == nil
}

// releaseHead gives back the room of the head. It is called with mu held.
func (c *conn) releaseHead() {
	c.headBytes = 0
	c.head.Close()
}

// beginHead records that the head of a request has begun. It is called with mu held.
func (c *conn) beginHead() {
	c.state, c.handled, c.abortReason, c.writeFailed = stateReceiving, false, "", false
	c.headBegunAt = time.Now()
}

// Write writes to the connection. While a head is being read, only net/http writes:
// its refusal of the request.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.handled = c.handled || c.state == stateReceiving
	c.writingSince = time.Now()
	if c.writeTimeout > 0 && c.writeDeadline.IsZero() {
		_ = c.Conn.SetWriteDeadline(c.writingSince.Add(c.writeTimeout))
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Time{}
	if err != nil {
		c.writeFailed = true
	} else {
		c.progressAt = time.Now()
	}
	return n, err
}

// CloseWrite closes the sending direction. net/http uses it so that the client
// can still read the last response.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return c.Conn.Close()
}

// beginRequest marks the connection as active with a request whose body has a length
// in bytes, negative for one in chunks. It returns false if what was read is no request
// but the rest of a body.
func (c *conn) beginRequest(bodyLength int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.misaligned {
		return false
	}
	c.framer.beginBody(bodyLength)
	c.state, c.handled, c.abortReason, c.writeFailed = stateActive, false, "", false
	return true
}

// finishHandler records that the handler has returned, or why it has aborted the
// response.
func (c *conn) finishHandler(abortReason unansweredReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.abortReason = abortReason == "", abortReason
}

// endRequest lets the connection wait for its next request after the response was
// written. If part of that was read already, it is being received. It returns false if
// the end of the request's body was not read; the connection must then be closed.
func (c *conn) endRequest(now time.Time, idleTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = time.Time{}
	c.releaseHead()
	if c.framer.phase != phaseHead {
		c.misaligned = true
		return false
	}
	c.state, c.waitingSince, c.idleTimeout, c.answered = stateWaiting, now, idleTimeout, true
	if c.hasNext() {
		c.beginHead()
		c.setHeadDeadline(now)
		return true
	}
	c.framer.reset()
	return true
}

// hasNext reports whether part of the request after the one that is handled was read.
// It is called with mu held.
func (c *conn) hasNext() bool {
	if c.framer.phase != phaseHead {
		// What is ahead belongs to the body.
		return false
	}
	return c.framer.begun || len(bytes.Trim(c.ahead, "\r\n")) > 0
}

// unanswered returns why a connection that has been closed leaves a request without
// a whole response, or "" if it does not. stopped says that the server has closed it.
func (c *conn) unanswered(stopped bool) unansweredReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := c.handled && !c.writeFailed && !c.headCut
	switch {
	case answered && c.state == stateActive && c.hasNext():
		return behindClose
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
