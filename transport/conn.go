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

// maxSilentChecks is the number of consecutive progress checks without a
// received byte after which a connection is closed. Checks are counted instead
// of elapsed time because, after a pause of this process, the timer fires once
// while the peer's bytes are still unread in the socket.
const maxSilentChecks = 4

// clientConn is one open connection and the state of its calls.
type clientConn struct {
	conn          *quic.Conn
	config        *tls.Config
	options       Options
	checkInterval time.Duration

	mu               sync.Mutex
	activeCalls      int
	retired          bool
	closeCause       error // why this process closed the connection, nil while it is open
	timerRunning     bool
	timer            *time.Timer
	silentChecks     int    // consecutive checks without a received byte
	bytesAtLastCheck uint64 // bytes received at the last check
}

func newClientConn(conn *quic.Conn, config *tls.Config, o Options) *clientConn {
	c := &clientConn{conn: conn, config: config, options: o, checkInterval: o.ProgressTimeout / maxSilentChecks}
	go c.watchDrainNotice()
	return c
}

// watchDrainNotice retires the connection when the server sends a drain notice.
func (c *clientConn) watchDrainNotice() {
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
	return c.usableLocked()
}

// usableLocked reports whether new calls may use the connection. The caller
// holds mu.
func (c *clientConn) usableLocked() bool {
	return !c.retired && c.closeCause == nil && c.conn.Context().Err() == nil
}

// acquire registers one call. It reports false if the connection is not usable
// any more.
func (c *clientConn) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.usableLocked() {
		return false
	}
	c.activeCalls++
	if c.activeCalls == 1 {
		c.silentChecks = 0
		c.bytesAtLastCheck = c.bytesReceived()
		c.startTimer()
	}
	return true
}

func (c *clientConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeCalls--
	c.closeIfUnused()
}

// retire prevents new calls and closes the connection after its last call.
func (c *clientConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.closeIfUnused()
}

// closeIfUnused closes a retired connection that has no active call. The caller
// holds mu.
func (c *clientConn) closeIfUnused() {
	if c.retired && c.activeCalls == 0 {
		c.closeLocked(codeReplaced, errReplaced)
	}
}

func (c *clientConn) closeWithError(code quic.ApplicationErrorCode, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(code, cause)
}

// closeLocked closes the connection with cause unless this process has already
// closed it. The caller holds mu.
func (c *clientConn) closeLocked(code quic.ApplicationErrorCode, cause error) {
	if c.closeCause != nil {
		return
	}
	c.closeCause = cause
	// CloseWithError blocks until the connection's own goroutine has stopped.
	go func() { _ = c.conn.CloseWithError(code, cause.Error()) }()
}

func (c *clientConn) bytesReceived() uint64 { return c.conn.ConnectionStats().BytesReceived }

// startTimer starts the progress timer unless it is running. The caller holds
// mu.
func (c *clientConn) startTimer() {
	if c.timerRunning {
		return
	}
	c.timerRunning = true
	if c.timer == nil {
		c.timer = time.AfterFunc(c.checkInterval, c.checkProgress)
		return
	}
	c.timer.Reset(c.checkInterval)
}

// checkProgress closes the connection if nothing was received for the progress
// timeout while a call was active. Until then it sends probes, which a live peer
// acknowledges even while its handler is slow.
func (c *clientConn) checkProgress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerRunning = false
	if c.activeCalls == 0 || c.closeCause != nil {
		return
	}
	if n := c.bytesReceived(); n != c.bytesAtLastCheck {
		c.bytesAtLastCheck = n
		c.silentChecks = 0
		c.startTimer()
		return
	}
	c.silentChecks++
	if c.silentChecks >= maxSilentChecks {
		connsTimedOut.Inc()
		c.closeLocked(codeProgressTimeout, ErrProgressTimeout)
		return
	}
	// Sending fails if the datagram queue is full; then probes are already queued.
	_ = c.conn.SendDatagram(probePayload)
	c.startTimer()
}

var probePayload = []byte{0}

// roundTrip runs one call on the connection. On failure the string is the reason
// label of the failure metric.
func (c *clientConn) roundTrip(ctx context.Context, addr string, m Method, body []byte) ([]byte, string, error) {
	counts := countersOf(m)
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, reasonNotSent, &NotSentError{Addr: addr, Err: c.closeCauseOr(err)}
	}
	stop := context.AfterFunc(ctx, func() { resetStream(stream, codeAbandoned) })
	defer stop()
	sent, err := stream.Write(encodeRequest(m, remainingTime(ctx), body))
	counts.out.Add(sent)
	if err != nil && !isRemoteStop(err) {
		return nil, c.failureReason(ctx), c.outcomeUnknown(ctx, addr, err)
	}
	_ = stream.Close()
	st, reply, err := c.readResponse(stream)
	if err != nil {
		resetStream(stream, codeAbandoned)
		return nil, c.failureReason(ctx), c.outcomeUnknown(ctx, addr, err)
	}
	counts.in.Add(responseLen(len(reply)))
	switch st {
	case statusOK:
		return reply, "", nil
	case statusRefused:
		return nil, reasonRefused, &RefusedError{Addr: addr, Reason: string(reply)}
	default:
		return nil, reasonRemote, &RemoteError{Addr: addr, Message: string(reply)}
	}
}

func (c *clientConn) readResponse(stream *quic.Stream) (status, []byte, error) {
	r := bufio.NewReaderSize(stream, streamBufferBytes)
	st, length, err := readResponseHeader(r)
	if err != nil {
		return 0, nil, err
	}
	body, err := readBody(r, length, c.options.MaxBodyBytes)
	return st, body, err
}

// isRemoteStop reports whether the peer stopped reading the request. The
// response is then still read, as it contains the reason.
func isRemoteStop(err error) bool {
	var s *quic.StreamError
	return errors.As(err, &s) && s.Remote
}

// outcomeUnknown returns the error of a call that failed while or after its
// request was written. It prefers the end of ctx to the reason why the connection
// was closed, and that reason to err.
func (c *clientConn) outcomeUnknown(ctx context.Context, addr string, err error) error {
	if ctx.Err() != nil {
		return &OutcomeUnknownError{Addr: addr, Err: ctx.Err()}
	}
	return &OutcomeUnknownError{Addr: addr, Err: c.closeCauseOr(err)}
}

// closeCauseOr returns this process's reason for closing the connection, or err
// if it did not close it.
func (c *clientConn) closeCauseOr(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeCause != nil {
		return c.closeCause
	}
	return err
}

// failureReason returns the reason label of the failure metric for a call that
// failed while or after its request was written.
func (c *clientConn) failureReason(ctx context.Context) string {
	if ctx.Err() != nil {
		return reasonCanceled
	}
	if errors.Is(c.closeCauseOr(nil), ErrProgressTimeout) {
		return reasonProgressTimeout
	}
	return reasonLost
}
