package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// TCPClient is a Caller over plain TCP, for networks whose VMs have no
// certificates. The peer is not authenticated: whoever reaches a listener may
// call it. One connection to each address carries all calls. It is safe for
// concurrent use.
type TCPClient struct {
	self Peer
	opts Options

	mu     sync.Mutex
	conns  map[string]*tcpConn
	closed bool
}

var _ Caller = (*TCPClient)(nil)

// NewTCPClient makes a client that names itself as self.
func NewTCPClient(self Peer, o Options) *TCPClient {
	return &TCPClient{self: self, opts: o.withDefaults(), conns: map[string]*tcpConn{}}
}

// tcpConn is one connection, or one that is being opened.
type tcpConn struct {
	addr string
	opts Options
	// ready is closed when conn or err is set.
	ready chan struct{}
	conn  net.Conn
	// heard is the time of the last byte from the peer, in ns since 1970.
	heard atomic.Int64

	writing sync.Mutex

	mu      sync.Mutex
	waiting map[uint64]chan frame
	next    uint64
	err     error
}

// Call sends one request and waits for its answer.
func (c *TCPClient) Call(ctx context.Context, addr string, m Method, body []byte) ([]byte, error) {
	t, err := c.connect(ctx, addr)
	if err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	answer, number, err := t.start()
	if err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	defer t.forget(number)
	request := encodeFrame(frame{kind: frameRequest, call: number, body: encodeRequest(m, timeLeft(ctx), body)})
	if err := t.write(request); err != nil {
		return nil, &LostError{Addr: addr, Err: err}
	}
	select {
	case f, ok := <-answer:
		if !ok {
			return nil, &LostError{Addr: addr, Err: t.failure()}
		}
		return t.result(f)
	case <-ctx.Done():
		// A failed write ends the connection, and with it the call.
		_ = t.write(encodeFrame(frame{kind: frameCancel, call: number}))
		return nil, &LostError{Addr: addr, Err: ctx.Err()}
	}
}

// Close ends all connections.
func (c *TCPClient) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, t := range c.conns {
		t.fail(ErrClosed)
	}
	return nil
}

// connect gives the connection to addr, opening it if there is none.
func (c *TCPClient) connect(ctx context.Context, addr string) (*tcpConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	t := c.conns[addr]
	if t == nil || t.failure() != nil {
		t = &tcpConn{addr: addr, opts: c.opts, ready: make(chan struct{}), waiting: map[uint64]chan frame{}}
		c.conns[addr] = t
		go t.open(c.self)
	}
	c.mu.Unlock()
	select {
	case <-t.ready:
		return t, t.failure()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *tcpConn) open(self Peer) {
	defer close(t.ready)
	dialer := net.Dialer{Timeout: t.opts.DialTimeout}
	if t.opts.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: t.opts.LocalIP}
	}
	conn, err := dialer.Dial("tcp", t.addr)
	if err != nil {
		t.fail(err)
		return
	}
	boundUnacknowledged(conn, 2*t.opts.ProgressTimeout)
	t.mu.Lock()
	t.conn = conn
	t.mu.Unlock()
	hello := append([]byte(self.VM), helloSeparator)
	hello = append(hello, self.Role...)
	if err := t.write(encodeFrame(frame{kind: frameHello, body: hello})); err != nil {
		return
	}
	t.heard.Store(time.Now().UnixNano())
	go t.read(conn)
	go t.watch()
}

func (t *tcpConn) start() (chan frame, uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err != nil {
		return nil, 0, t.err
	}
	if len(t.waiting) == 0 {
		// The silence of an idle connection is not the peer's fault.
		t.heard.Store(time.Now().UnixNano())
	}
	t.next++
	answer := make(chan frame, 1)
	t.waiting[t.next] = answer
	return answer, t.next, nil
}

func (t *tcpConn) forget(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, number)
}

func (t *tcpConn) failure() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

func (t *tcpConn) underWay() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting)
}

// fail ends the connection and every call on it.
func (t *tcpConn) fail(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err != nil {
		return
	}
	t.err = err
	if t.conn != nil {
		_ = t.conn.Close()
	}
	for number, answer := range t.waiting {
		close(answer)
		delete(t.waiting, number)
	}
}

func (t *tcpConn) write(b []byte) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	err := t.conn.SetWriteDeadline(time.Now().Add(t.opts.ProgressTimeout))
	if err == nil {
		_, err = t.conn.Write(b)
	}
	if err != nil {
		t.fail(err)
	}
	return err
}

func (t *tcpConn) read(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		f, err := readFrame(r, t.opts.MaxBody)
		if err != nil {
			t.fail(err)
			return
		}
		t.heard.Store(time.Now().UnixNano())
		if f.kind != frameResponse {
			continue
		}
		t.mu.Lock()
		answer := t.waiting[f.call]
		delete(t.waiting, f.call)
		t.mu.Unlock()
		if answer != nil {
			answer <- f
		}
	}
}

// watch asks a quiet peer for a sign of life while calls wait, and ends the
// connection if none comes.
func (t *tcpConn) watch() {
	period := t.opts.ProgressTimeout / 2
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	ping := encodeFrame(frame{kind: framePing})
	for range ticker.C {
		if t.failure() != nil {
			return
		}
		if t.underWay() == 0 {
			continue
		}
		quiet := time.Since(time.Unix(0, t.heard.Load()))
		if quiet > t.opts.ProgressTimeout {
			t.fail(ErrSilent)
			return
		}
		if quiet > period/2 {
			_ = t.write(ping)
		}
	}
}

func (t *tcpConn) result(f frame) ([]byte, error) {
	s, body, err := decodeResponseFrame(f.body, t.opts.MaxBody)
	switch {
	case err != nil:
		return nil, &LostError{Addr: t.addr, Err: err}
	case s == statusOK:
		return body, nil
	case s == statusRefused:
		return nil, &RefusedError{Addr: t.addr, Reason: string(body)}
	default:
		return nil, &RemoteError{Addr: t.addr, Message: string(body)}
	}
}
