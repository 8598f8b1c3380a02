package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// probesBeforeSilent is how many checks without a received byte make a
// connection silent. Checks are counted, not seconds: after this process was
// paused, the timer fires once while the peer's bytes wait in the socket.
const probesBeforeSilent = 4

// clientConn is one open connection with the calls that run on it.
type clientConn struct {
	conn     *quic.Conn
	config   *tls.Config
	options  Options
	interval time.Duration

	mu      sync.Mutex
	running int
	retired bool
	cause   error // why this process closed the connection
	armed   bool
	timer   *time.Timer
	quiet   int    // checks in a row without a received byte
	seen    uint64 // bytes received at the last check
}

func newClientConn(conn *quic.Conn, config *tls.Config, o Options) *clientConn {
	c := &clientConn{conn: conn, config: config, options: o, interval: o.ProgressTimeout / probesBeforeSilent}
	go c.awaitDrain()
	return c
}

// awaitDrain retires the connection when the server announces its drain.
func (c *clientConn) awaitDrain() {
	stream, err := c.conn.AcceptUniStream(context.Background())
	if err != nil {
		return
	}
	stream.CancelRead(codeAbandoned)
	c.retire()
}

func (c *clientConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alive()
}

// alive says whether new calls may use the connection. The caller holds mu.
func (c *clientConn) alive() bool {
	return !c.retired && c.cause == nil && c.conn.Context().Err() == nil
}

// retain registers one call. It fails if the connection can no longer be used.
func (c *clientConn) retain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.alive() {
		return false
	}
	c.running++
	if c.running == 1 {
		c.quiet = 0
		c.seen = c.received()
		c.arm()
	}
	return true
}

func (c *clientConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	c.closeIfDone()
}

// retire keeps new calls away and closes the connection after its last call.
func (c *clientConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.closeIfDone()
}

// closeIfDone closes a retired connection without calls. The caller holds mu.
func (c *clientConn) closeIfDone() {
	if c.retired && c.running == 0 {
		c.shutLocked(codeReplaced, errRetired)
	}
}

func (c *clientConn) shut(code quic.ApplicationErrorCode, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shutLocked(code, cause)
}

func (c *clientConn) shutLocked(code quic.ApplicationErrorCode, cause error) {
	if c.cause != nil {
		return
	}
	c.cause = cause
	// CloseWithError waits for the connection's own goroutine.
	go func() { _ = c.conn.CloseWithError(code, cause.Error()) }()
}

func (c *clientConn) received() uint64 { return c.conn.ConnectionStats().BytesReceived }

// arm starts the progress timer unless it runs. The caller holds mu.
func (c *clientConn) arm() {
	if c.armed {
		return
	}
	c.armed = true
	if c.timer == nil {
		c.timer = time.AfterFunc(c.interval, c.check)
		return
	}
	c.timer.Reset(c.interval)
}

// check closes the connection if it was silent for the progress timeout while
// a call was under way. Before that it sends probes, which a living peer
// acknowledges even if its handler takes long.
func (c *clientConn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = false
	if c.running == 0 || c.cause != nil {
		return
	}
	if n := c.received(); n != c.seen {
		c.seen = n
		c.quiet = 0
		c.arm()
		return
	}
	c.quiet++
	if c.quiet >= probesBeforeSilent {
		connsSilent.Inc()
		c.shutLocked(codeSilent, ErrSilent)
		return
	}
	// A full datagram queue means that probes are already on their way.
	_ = c.conn.SendDatagram(probe)
	c.arm()
}

var probe = []byte{0}

// exchange runs one call on the connection and gives the reason of a failure.
func (c *clientConn) exchange(ctx context.Context, addr string, m Method, body []byte) ([]byte, string, error) {
	n := countersOf(m)
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, reasonNotSent, &NotSentError{Addr: addr, Err: c.explain(err)}
	}
	stop := context.AfterFunc(ctx, func() { resetStream(stream, codeAbandoned) })
	defer stop()
	sent, err := stream.Write(encodeRequest(m, timeLeft(ctx), body))
	n.out.Add(sent)
	if err != nil && !isRemoteStop(err) {
		return nil, c.reason(ctx), c.lost(ctx, addr, err)
	}
	_ = stream.Close()
	st, reply, err := c.readReply(stream)
	if err != nil {
		resetStream(stream, codeAbandoned)
		return nil, c.reason(ctx), c.lost(ctx, addr, err)
	}
	n.in.Add(responseBytes(len(reply)))
	switch st {
	case statusOK:
		return reply, "", nil
	case statusRefused:
		return nil, reasonRefused, &RefusedError{Addr: addr, Reason: string(reply)}
	default:
		return nil, reasonRemote, &RemoteError{Addr: addr, Message: string(reply)}
	}
}

func (c *clientConn) readReply(stream *quic.Stream) (status, []byte, error) {
	r := bufio.NewReaderSize(stream, streamBuffer)
	st, length, err := readResponseHeader(r)
	if err != nil {
		return 0, nil, err
	}
	body, err := readBody(r, length, c.options.MaxBody)
	return st, body, err
}

// isRemoteStop says whether the peer stopped reading the request. Its answer
// says why, so it is still read.
func isRemoteStop(err error) bool {
	var s *quic.StreamError
	return errors.As(err, &s) && s.Remote
}

func (c *clientConn) lost(ctx context.Context, addr string, err error) error {
	if ctx.Err() != nil {
		return &LostError{Addr: addr, Err: ctx.Err()}
	}
	return &LostError{Addr: addr, Err: c.explain(err)}
}

// explain gives this process's own reason for closing the connection, if any.
func (c *clientConn) explain(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return c.cause
	}
	return err
}

func (c *clientConn) reason(ctx context.Context) string {
	if ctx.Err() != nil {
		return reasonCanceled
	}
	if errors.Is(c.explain(nil), ErrSilent) {
		return reasonSilent
	}
	return reasonLost
}
