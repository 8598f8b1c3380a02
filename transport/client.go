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

// Client sends calls. It keeps one connection for each address and opens a new
// one when that connection is gone, was silent, is drained by the server or
// was made with certificates that have been replaced since. It is safe for
// concurrent use.
type Client struct {
	creds   Credentials
	options Options

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

var _ Caller = (*Client)(nil)

// NewClient makes a client with the default limits.
func NewClient(creds Credentials) *Client {
	return &Client{creds: creds, options: Options{}.withDefaults(), links: make(map[string]*link)}
}

// NewClientWith makes a client with the given limits.
func NewClientWith(creds Credentials, o Options) (*Client, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	return &Client{creds: creds, options: o.withDefaults(), links: make(map[string]*link)}, nil
}

// Call sends one request and waits for its answer. The time left in ctx is
// passed on to the handler. Errors: *NotSentError, *LostError, *RefusedError,
// *RemoteError.
func (c *Client) Call(ctx context.Context, addr string, m Method, body []byte) ([]byte, error) {
	reply, reason, err := c.call(ctx, addr, m, body)
	if err != nil {
		countFailure(reason)
	}
	return reply, err
}

func (c *Client) call(ctx context.Context, addr string, m Method, body []byte) ([]byte, string, error) {
	if uint64(len(body)) > c.options.MaxBody {
		err := &TooLargeError{Bytes: uint64(len(body)), Limit: c.options.MaxBody}
		return nil, reasonTooLarge, &NotSentError{Addr: addr, Err: err}
	}
	l, err := c.link(addr)
	if err != nil {
		return nil, reasonNotSent, &NotSentError{Addr: addr, Err: err}
	}
	conn, err := l.acquire(ctx)
	if err != nil {
		return nil, reasonDial, &NotSentError{Addr: addr, Err: err}
	}
	defer conn.release()
	return conn.exchange(ctx, addr, m, body)
}

func (c *Client) link(addr string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	l, ok := c.links[addr]
	if !ok {
		l = &link{client: c, addr: addr}
		c.links[addr] = l
	}
	return l, nil
}

// Close closes every connection. Running calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	links := c.links
	c.links = nil
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	return nil
}

// link is the client's connection to one address and its replacement.
type link struct {
	client *Client
	addr   string

	mu      sync.Mutex
	closed  bool
	current *clientConn
	dialing *dial
	// keepUntil is when a failed replacement of a working connection is tried
	// again.
	keepUntil time.Time
}

// dial is one attempt to open a connection, shared by all calls that wait.
type dial struct {
	done chan struct{}
	err  error
}

// replaceRetry is the time between attempts to replace a working connection
// after a rotation of certificates.
const replaceRetry = time.Second

// acquire gives a connection for one call and dials if none is usable.
func (l *link) acquire(ctx context.Context) (*clientConn, error) {
	for {
		conn, d, err := l.tryAcquire()
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

// tryAcquire gives a usable connection, or the dial to wait for.
func (l *link) tryAcquire() (*clientConn, *dial, error) {
	config, err := l.client.creds.ClientTLS()
	if err != nil {
		return nil, nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, ErrClosed
	}
	if l.current != nil && l.current.usable() {
		isCurrent := l.current.config == config
		if !isCurrent && l.dialing == nil && time.Now().After(l.keepUntil) {
			l.startDial(config)
		}
		// A replacement after a rotation is opened beside the working
		// connection, so that no call waits for it or fails with it.
		if l.current.retain() {
			return l.current, nil, nil
		}
	}
	if l.dialing == nil {
		l.startDial(config)
	}
	return nil, l.dialing, nil
}

// startDial opens a connection in the background. The caller holds mu.
func (l *link) startDial(config *tls.Config) {
	d := &dial{done: make(chan struct{})}
	l.dialing = d
	go func() {
		conn, err := l.open(config)
		l.mu.Lock()
		l.finishDial(d, conn, err)
		l.mu.Unlock()
		close(d.done)
	}()
}

// finishDial installs the result of a dial. The caller holds mu.
func (l *link) finishDial(d *dial, conn *clientConn, err error) {
	l.dialing = nil
	if err != nil {
		d.err = err
		l.keepUntil = time.Now().Add(replaceRetry)
		return
	}
	if l.closed {
		d.err = ErrClosed
		conn.shut(codeClosed, ErrClosed)
		return
	}
	if l.current != nil {
		l.current.retire()
	}
	l.current = conn
}

// open dials within the dial timeout, whatever the calls that wait for it do.
// Each connection has a socket of its own: a path that went silent for one
// address pair may work for another.
func (l *link) open(config *tls.Config) (*clientConn, error) {
	o := l.client.options
	host, _, err := net.SplitHostPort(l.addr)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w; give it as ip:port", l.addr, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.DialTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, l.addr, clientConfig(config, host), o.quicConfig(false))
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	// In TLS 1.3 the client's handshake ends before the server has checked the
	// client's certificate. The answer to a first call of the transport itself
	// shows that the server has accepted it, so that no caller's request is
	// sent on a connection that is about to be rejected.
	c := newClientConn(conn, config, o)
	if _, _, err := c.exchange(ctx, l.addr, methodHello, nil); err != nil {
		c.shut(codeClosed, ErrClosed)
		return nil, fmt.Errorf("first call on a new connection: %w", errors.Unwrap(err))
	}
	connsOpened.Inc()
	return c, nil
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	conn := l.current
	l.mu.Unlock()
	if conn != nil {
		conn.shut(codeClosed, ErrClosed)
	}
}

var errRetired = errors.New("the connection was replaced")
