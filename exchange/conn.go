package exchange

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/internal/sockopt"
)

// conn is a connection to an address, used by one request at a time.
type conn struct {
	net.Conn
	addr string
	// openedAt is when the opening of the connection began.
	openedAt time.Time
	reader   *bufio.Reader
	// bytesRead is the number of bytes received on the connection.
	bytesRead int64
	// headStart is the value of bytesRead at which the response head began that is
	// being read. headAccount counts that head, nil while none is read.
	headStart   int64
	headAccount *buffers.Account
	// headErr is why no more is read on the connection. The parser of heads may drop
	// it and read on: what follows a torn line could look like the end of the head.
	headErr error
	// reused is true if the connection has served a request before.
	reused bool
	// expires is when the peer may close the connection if it is idle.
	expires time.Time
}

// Read counts the bytes received. It fails once a response head has become too large
// or finds no room.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.countHead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.bytesRead += int64(n)
	return n, err
}

// countHead counts what was read of a response head before more of it is read.
func (c *conn) countHead() error {
	if c.headAccount == nil || c.headErr != nil {
		return c.headErr
	}
	n := c.bytesRead - c.headStart
	if n >= maxHeadBytes {
		c.headErr = errHeadTooLarge
	} else {
		c.headErr = c.headAccount.Resize(headMemoryFactor * n)
	}
	return c.headErr
}

// readHead reads the head of a response. It buffers at most maxHeadBytes and a
// buffer's length more, and counts that in memory until the head is complete.
func (c *conn) readHead(r *Request, memory *buffers.Memory) (*http.Response, error) {
	c.headStart = c.bytesRead
	c.headAccount = memory.NewAccount(buffers.AnswerHead, headMemoryFactor*freeHeadBytes)
	defer func() {
		c.headAccount.Close()
		c.headAccount = nil
	}()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err := cmp.Or(c.headErr, err); err != nil {
		return nil, err
	}
	return resp, checkHead(resp)
}

// minStatus is the lowest status of HTTP. net/http panics when it writes a lower
// one.
const minStatus = 100

// checkHead returns an error for a head that http.ReadResponse accepts and that
// cannot be relied on. In HTTP/1.0, net/http takes no notice of chunks, so that
// their sizes would be read as part of a body without a length.
func checkHead(resp *http.Response) error {
	switch {
	case resp.StatusCode < minStatus:
		return fmt.Errorf("status %03d is none of HTTP", resp.StatusCode)
	case resp.ProtoMajor != 1:
		return fmt.Errorf("the protocol is %s instead of HTTP/1.1", resp.Proto)
	case !resp.ProtoAtLeast(1, 1) && resp.ContentLength < 0 && resp.Request.Method != http.MethodHead:
		return fmt.Errorf("a response of %s has no length", resp.Proto)
	}
	return nil
}

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes is the maximum size of a response head.
	maxHeadBytes = 64 << 10
	// headMemoryFactor times its length is what a head of short fields takes once it
	// is parsed. The first freeHeadBytes of a head are not counted.
	headMemoryFactor = 16
	freeHeadBytes    = 2 << 10
	// maxDiscardedBytes is the maximum size of a response to another request that
	// is read to reach the next one.
	maxDiscardedBytes = 1 << 20
	// defaultIdleTimeout is how long an idle connection is kept if the response
	// has no Keep-Alive timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the peer's Keep-Alive timeout to allow
	// for the network delay of the next request.
	idleTimeoutMargin = 500 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged.
	unackedTimeout = 2 * time.Second
)

// keepAliveConfig detects within about 3 s that a middlebox has lost the state of
// a connection, also while the peer is merely slow to respond.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	return sockopt.SetUserTimeout(c, unackedTimeout)
}

// hasBufferedData reports whether data was read that belongs to no response.
func (c *conn) hasBufferedData() bool { return c.reader.Buffered() > 0 }

// isIdle reports whether the connection is open and has no unread data.
func (c *conn) isIdle() bool {
	if c.hasBufferedData() {
		return false
	}
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	unread, err := sockopt.PeekUnread(t)
	return err == nil && unread == sockopt.UnreadNothing
}

// setExpiry sets how long the connection may be kept after a response with the
// headers h.
func (c *conn) setExpiry(now time.Time, h http.Header) {
	idle := defaultIdleTimeout
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil && seconds > 0 {
			idle = time.Duration(seconds) * time.Second
			idle = max(idle-idleTimeoutMargin, idle/2)
		}
	}
	c.expires = now.Add(idle)
}
