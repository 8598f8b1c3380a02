package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Client is a Caller over QUIC. It keeps one connection per address and opens a
// new one when that connection is closed, received nothing for the progress
// timeout, is drained by the server or was opened with certificates that have
// been replaced since. It is safe for concurrent use.
type Client struct {
	creds   Credentials
	options Options

	mu        sync.Mutex
	closed    bool
	addrConns map[string]*addrConn
}

var _ Caller = (*Client)(nil)

// NewClient returns a client with the default limits.
func NewClient(creds Credentials) *Client {
	return &Client{creds: creds, options: Options{}.withDefaults(), addrConns: make(map[string]*addrConn)}
}

// NewClientWithOptions returns a client with the given limits.
func NewClientWithOptions(creds Credentials, o Options) (*Client, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	return &Client{creds: creds, options: o.withDefaults(), addrConns: make(map[string]*addrConn)}, nil
}

// Call sends one request and waits for its response. The deadline of ctx also
// applies to the handler. An error is a *NotSentError, *OutcomeUnknownError,
// *RefusedError or *RemoteError.
func (c *Client) Call(ctx context.Context, addr string, m Method, body []byte) ([]byte, error) {
	reply, reason, err := c.call(ctx, addr, m, body)
	if err != nil {
		countFailure(reason)
	}
	return reply, err
}

func (c *Client) call(ctx context.Context, addr string, m Method, body []byte) ([]byte, string, error) {
	if uint64(len(body)) > c.options.MaxBodyBytes {
		err := &TooLargeError{Bytes: uint64(len(body)), Limit: c.options.MaxBodyBytes}
		return nil, reasonTooLarge, &NotSentError{Addr: addr, Err: err}
	}
	a, err := c.addrConn(addr)
	if err != nil {
		return nil, reasonNotSent, &NotSentError{Addr: addr, Err: err}
	}
	conn, err := a.acquire(ctx)
	if err != nil {
		return nil, reasonDial, &NotSentError{Addr: addr, Err: err}
	}
	defer conn.release()
	return conn.roundTrip(ctx, addr, m, body)
}

func (c *Client) addrConn(addr string) (*addrConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	a, ok := c.addrConns[addr]
	if !ok {
		a = &addrConn{client: c, addr: addr}
		c.addrConns[addr] = a
	}
	return a, nil
}

// Close closes every connection. Active calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	conns := c.addrConns
	c.addrConns = nil
	c.mu.Unlock()
	for _, a := range conns {
		a.close()
	}
	return nil
}

// addrConn manages the client's connection to one address and the dial of its
// replacement.
type addrConn struct {
	client *Client
	addr   string

	mu      sync.Mutex
	closed  bool
	current *clientConn
	dialing *dial
	// nextReplaceAttempt is the earliest time to dial again after the replacement
	// of a working connection failed.
	nextReplaceAttempt time.Time
}

// dial is one attempt to open a connection, shared by all calls that wait for
// it.
type dial struct {
	done chan struct{}
	err  error
}

// replaceRetryInterval is the time between attempts to replace a working
// connection after a certificate rotation.
const replaceRetryInterval = time.Second

// acquire returns a connection for one call and dials if none is usable.
func (a *addrConn) acquire(ctx context.Context) (*clientConn, error) {
	for {
		conn, d, err := a.tryAcquire()
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-d.done:
			if d.err != nil {
				return nil, d.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryAcquire returns a usable connection, or the dial to wait for.
func (a *addrConn) tryAcquire() (*clientConn, *dial, error) {
	config, err := a.client.creds.ClientTLS()
	if err != nil {
		return nil, nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, nil, ErrClosed
	}
	if a.current != nil && a.current.usable() {
		isCurrent := a.current.config == config
		if !isCurrent && a.dialing == nil && time.Now().After(a.nextReplaceAttempt) {
			a.startDial(config)
		}
		// After a certificate rotation the replacement is dialled while calls
		// still use the working connection, so that no call waits for the dial
		// or fails with it.
		if a.current.acquire() {
			return a.current, nil, nil
		}
	}
	if a.dialing == nil {
		a.startDial(config)
	}
	return nil, a.dialing, nil
}

// startDial opens a connection in the background. The caller holds mu.
func (a *addrConn) startDial(config *tls.Config) {
	d := &dial{done: make(chan struct{})}
	a.dialing = d
	go func() {
		conn, err := a.connect(config)
		a.mu.Lock()
		a.finishDial(d, conn, err)
		a.mu.Unlock()
		close(d.done)
	}()
}

// finishDial stores the result of a dial. The caller holds mu.
func (a *addrConn) finishDial(d *dial, conn *clientConn, err error) {
	a.dialing = nil
	if err != nil {
		d.err = err
		a.nextReplaceAttempt = time.Now().Add(replaceRetryInterval)
		return
	}
	if a.closed {
		d.err = ErrClosed
		conn.closeWithError(codeClosed, ErrClosed)
		return
	}
	if a.current != nil {
		a.current.retire()
	}
	a.current = conn
}

// connect dials the address. Only the dial timeout limits it, not the contexts
// of the calls that wait. Each connection has its own socket: a path that drops
// the packets of one address pair may work for another.
func (a *addrConn) connect(config *tls.Config) (*clientConn, error) {
	o := a.client.options
	host, _, err := net.SplitHostPort(a.addr)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w; use the form ip:port", a.addr, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.DialTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, a.addr, clientConfig(config, host), o.quicConfig(false))
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	// In TLS 1.3 the client's handshake completes before the server has verified
	// the client's certificate. The response to a hello call shows that the
	// server has accepted it, so that no request is sent on a connection that is
	// about to be rejected.
	c := newClientConn(conn, config, o)
	if _, _, err := c.roundTrip(ctx, a.addr, methodHello, nil); err != nil {
		c.closeWithError(codeClosed, ErrClosed)
		return nil, fmt.Errorf("hello on a new connection: %w", errors.Unwrap(err))
	}
	connsOpened.Inc()
	return c, nil
}

func (a *addrConn) close() {
	a.mu.Lock()
	a.closed = true
	conn := a.current
	a.mu.Unlock()
	if conn != nil {
		conn.closeWithError(codeClosed, ErrClosed)
	}
}

var errReplaced = errors.New("the connection was replaced")
