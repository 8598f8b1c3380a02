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
// certificates. Peers are not authenticated: any process that can connect to a
// server may call it. All calls to an address share one connection. It is safe
// for concurrent use.
type TCPClient struct {
	self Peer
	opts Options

	mu     sync.Mutex
	conns  map[string]*tcpConn
	closed bool
}

var _ Caller = (*TCPClient)(nil)

// NewTCPClient returns a client that identifies itself to servers as self.
func NewTCPClient(self Peer, o Options) *TCPClient {
	return &TCPClient{self: self, opts: o.withDefaults(), conns: map[string]*tcpConn{}}
}

// tcpConn is a connection that is open or being opened.
type tcpConn struct {
	addr string
	opts Options
	// ready is closed when conn or err is set.
	ready chan struct{}
	conn  net.Conn
	// received counts the frames from the peer, and each call before which no other
	// was pending.
	received atomic.Uint64

	writeMu sync.Mutex

	mu         sync.Mutex
	pending    map[uint64]chan frame
	lastCallID uint64
	err        error // why the connection failed or was closed, nil until then
}

// Call sends one request and waits for its response.
func (c *TCPClient) Call(ctx context.Context, addr string, m Method, body []byte) ([]byte, error) {
	t, err := c.connect(ctx, addr)
	if err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	response, callID, err := t.startCall()
	if err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	defer t.removeCall(callID)
	request := encodeFrame(frame{kind: frameRequest, callID: callID, body: encodeRequest(m, remainingTime(ctx), body)})
	if err := t.write(request); err != nil {
		return nil, &OutcomeUnknownError{Addr: addr, Err: err}
	}
	select {
	case f, ok := <-response:
		if !ok {
			return nil, &OutcomeUnknownError{Addr: addr, Err: t.closeErr()}
		}
		return t.decodeResponse(f)
	case <-ctx.Done():
		// If the write fails, it closes the connection, which also cancels the
		// call at the server.
		_ = t.write(encodeFrame(frame{kind: frameCancel, callID: callID}))
		return nil, &OutcomeUnknownError{Addr: addr, Err: ctx.Err()}
	}
}

// Close closes all connections. Active calls fail.
func (c *TCPClient) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, t := range c.conns {
		t.closeWithError(ErrClosed)
	}
	return nil
}

// connect returns the connection to addr and opens one if there is none.
func (c *TCPClient) connect(ctx context.Context, addr string) (*tcpConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	t := c.conns[addr]
	if t == nil || t.closeErr() != nil {
		t = &tcpConn{addr: addr, opts: c.opts, ready: make(chan struct{}), pending: map[uint64]chan frame{}}
		c.conns[addr] = t
		go t.connect(c.self)
	}
	c.mu.Unlock()
	select {
	case <-t.ready:
		return t, t.closeErr()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *tcpConn) connect(self Peer) {
	defer close(t.ready)
	conn, err := dialInAttempts(t.opts.DialTimeout, func(timeout time.Duration) (net.Conn, error) {
		dialer := net.Dialer{Timeout: timeout}
		if t.opts.LocalIP != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: t.opts.LocalIP}
		}
		return dialer.Dial("tcp", t.addr)
	})
	if err != nil {
		t.closeWithError(err)
		return
	}
	setUserTimeout(conn, 2*t.opts.ProgressTimeout)
	t.mu.Lock()
	t.conn = conn
	t.mu.Unlock()
	hello := append([]byte(self.VM), helloSeparator)
	hello = append(hello, self.Role...)
	if err := t.write(encodeFrame(frame{kind: frameHello, body: hello})); err != nil {
		return
	}
	go t.readLoop(conn)
	go t.monitorProgress()
}

// startCall registers a call and returns the channel for its response, which is
// closed if the connection fails, and its call ID.
func (t *tcpConn) startCall() (chan frame, uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err != nil {
		return nil, 0, t.err
	}
	if len(t.pending) == 0 {
		// The time in which the connection was idle must not count towards the
		// progress timeout.
		t.received.Add(1)
	}
	t.lastCallID++
	response := make(chan frame, 1)
	t.pending[t.lastCallID] = response
	return response, t.lastCallID, nil
}

func (t *tcpConn) removeCall(callID uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, callID)
}

func (t *tcpConn) closeErr() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

func (t *tcpConn) pendingCalls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending)
}

// closeWithError closes the connection and fails every call on it.
func (t *tcpConn) closeWithError(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err != nil {
		return
	}
	t.err = err
	if t.conn != nil {
		_ = t.conn.Close()
	}
	for callID, response := range t.pending {
		close(response)
		delete(t.pending, callID)
	}
}

func (t *tcpConn) write(b []byte) error {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	err := t.conn.SetWriteDeadline(time.Now().Add(t.opts.ProgressTimeout))
	if err == nil {
		_, err = t.conn.Write(b)
	}
	if err != nil {
		t.closeWithError(err)
	}
	return err
}

func (t *tcpConn) readLoop(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		f, err := readFrame(r, t.opts.MaxBodyBytes)
		if err != nil {
			t.closeWithError(err)
			return
		}
		t.received.Add(1)
		if f.kind != frameResponse {
			continue
		}
		t.mu.Lock()
		response := t.pending[f.callID]
		delete(t.pending, f.callID)
		t.mu.Unlock()
		if response != nil {
			response <- f
		}
	}
}

// monitorProgress pings the peer while calls are pending, and closes the connection
// if nothing is received for the progress timeout.
func (t *tcpConn) monitorProgress() {
	period := t.opts.ProgressTimeout / 2
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	ping := encodeFrame(frame{kind: framePing})
	watch := progressWatch{period: period, checkedAt: time.Now()}
	for range ticker.C {
		if t.closeErr() != nil {
			return
		}
		if t.pendingCalls() == 0 {
			continue
		}
		if watch.check(time.Now(), t.received.Load()) {
			t.closeWithError(ErrProgressTimeout)
			return
		}
		_ = t.write(ping)
	}
}

func (t *tcpConn) decodeResponse(f frame) ([]byte, error) {
	s, body, err := decodeResponseFrame(f.body, t.opts.MaxBodyBytes)
	switch {
	case err != nil:
		return nil, &OutcomeUnknownError{Addr: t.addr, Err: err}
	case s == statusOK:
		return body, nil
	case s == statusRefused:
		return nil, &RefusedError{Addr: t.addr, Reason: string(body)}
	default:
		return nil, &RemoteError{Addr: t.addr, Message: string(body)}
	}
}
