package exchange

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"damaskbridge.example/damaskbridge/internal/sockopt"
)

// conn is one connection to an address. One request uses it at a time.
type conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	// got counts the bytes that were read.
	got int64
	// expires is when the other end may close the idle connection.
	expires time.Time
}

// Read counts what arrives.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.got += int64(n)
	return n, err
}

const (
	readBufferBytes = 4 << 10
	// defaultIdle is how long an idle connection is kept when the other end
	// names no time.
	defaultIdle = 3 * time.Second
	// idleMargin is kept before the time that the other end names, for the
	// way there.
	idleMargin = 500 * time.Millisecond
	// unacknowledgedLimit is how long sent bytes may stay unacknowledged.
	unacknowledgedLimit = 2 * time.Second
)

// keepAlive finds a connection that something in between has lost track of
// within about 3 s, although the other end is merely slow.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func boundUnacknowledged(_, _ string, c syscall.RawConn) error {
	return sockopt.SetUserTimeout(c, unacknowledgedLimit)
}

// hasUnread says that bytes were read from the connection which belong to no
// response.
func (c *conn) hasUnread() bool { return c.reader.Buffered() > 0 }

// isQuiet says whether the idle connection is open and nothing has come on it.
func (c *conn) isQuiet() bool {
	if c.hasUnread() {
		return false
	}
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// keepUntil notes how long the connection may be kept after a response.
func (c *conn) keepUntil(now time.Time, h http.Header) {
	idle := defaultIdle
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil && seconds > 0 {
			idle = time.Duration(seconds) * time.Second
			idle = max(idle-idleMargin, idle/2)
		}
	}
	c.expires = now.Add(idle)
}
