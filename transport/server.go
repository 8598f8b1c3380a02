package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Application error codes of closed connections and reset streams.
const (
	codeClosed          quic.ApplicationErrorCode = 1
	codeIdentity        quic.ApplicationErrorCode = 2
	codeProgressTimeout quic.ApplicationErrorCode = 3
	codeReplaced        quic.ApplicationErrorCode = 4
	codeAbandoned       quic.StreamErrorCode      = 1
	codeMalformed       quic.StreamErrorCode      = 2
)

// drainNotice is the only message on a stream that the server opens.
const drainNotice byte = 1

// streamBufferBytes is the size of one stream's read buffer. Most calls fit into
// it.
const streamBufferBytes = 512

// Server accepts connections and passes their calls to a handler. It is safe
// for concurrent use.
type Server struct {
	handler       Handler
	options       Options
	socket        net.PacketConn
	quicTransport *quic.Transport
	listener      *quic.Listener
	callSlots     chan struct{} // holds one element per active call

	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	draining   bool
	noConns    chan struct{} // closed when the server drains and no connection is left
	conns      map[*quic.Conn]*connActivity
	goroutines sync.WaitGroup
}

// Listen serves calls on addr ("ip:port"; port 0 picks a free port) with the
// default limits.
func Listen(addr string, creds Credentials, h Handler) (*Server, error) {
	return ListenWithOptions(addr, creds, h, Options{})
}

// ListenWithOptions serves calls on addr with the given limits.
func ListenWithOptions(addr string, creds Credentials, h Handler, o Options) (*Server, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	socket, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: listen on %s: %w; check that the address belongs to this VM and the port is free", addr, err)
	}
	tr := &quic.Transport{Conn: socket}
	listener, err := tr.Listen(serverConfig(creds), o.quicConfig(true))
	if err != nil {
		_ = tr.Close()
		_ = socket.Close()
		return nil, fmt.Errorf("transport: listen on %s: %w", addr, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		handler: h, options: o, socket: socket, quicTransport: tr, listener: listener,
		callSlots: make(chan struct{}, o.MaxCalls), ctx: ctx, cancel: cancel,
		noConns: make(chan struct{}), conns: make(map[*quic.Conn]*connActivity),
	}
	s.goroutines.Add(1)
	go s.acceptConns()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.socket.LocalAddr().String() }

func (s *Server) acceptConns() {
	defer s.goroutines.Done()
	for {
		conn, err := s.listener.Accept(s.ctx)
		if err != nil {
			return
		}
		a, ok := s.addConn(conn)
		if !ok {
			_ = conn.CloseWithError(codeClosed, "the server is closed")
			continue
		}
		connsAccepted.Inc()
		go s.serveConn(conn, a)
	}
}

// addConn registers conn and its goroutine unless the server is draining or
// closed.
func (s *Server) addConn(conn *quic.Conn) (a *connActivity, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.ctx.Err() != nil {
		return nil, false
	}
	a = newConnActivity(time.Now())
	s.conns[conn] = a
	s.goroutines.Add(1)
	return a, true
}

func (s *Server) removeConn(conn *quic.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	if s.draining && len(s.conns) == 0 {
		s.signalNoConns()
	}
	s.mu.Unlock()
}

func (s *Server) serveConn(conn *quic.Conn, a *connActivity) {
	defer s.goroutines.Done()
	defer s.removeConn(conn)
	peer, err := PeerOf(conn.ConnectionState().TLS)
	if err != nil {
		connsRejected.Inc()
		_ = conn.CloseWithError(codeIdentity, err.Error())
		return
	}
	for {
		stream, err := conn.AcceptStream(s.ctx)
		if err != nil {
			return
		}
		// While no slot is free, the streams of this connection stay unread and
		// flow control stops their senders.
		select {
		case s.callSlots <- struct{}{}:
		case <-conn.Context().Done():
			return
		}
		a.callStarted()
		go func() {
			defer a.callEnded(time.Now)
			s.serveStream(stream, peer)
		}()
	}
}

func (s *Server) serveStream(stream *quic.Stream, peer Peer) {
	defer func() { <-s.callSlots }()
	r := bufio.NewReaderSize(stream, streamBufferBytes)
	h, err := readRequestHeader(r)
	if err != nil {
		resetStream(stream, codeMalformed)
		return
	}
	counts := countersOf(h.method)
	counts.calls.Inc()
	if h.method == methodHello && h.bodyLen == 0 {
		counts.out.Add(s.writeResponse(stream, statusOK, nil))
		return
	}
	if s.isDraining() {
		counts.out.Add(s.writeResponse(stream, statusRefused, []byte("the process is shutting down; call another VM")))
		return
	}
	body, err := readBody(r, h.bodyLen, s.options.MaxBodyBytes)
	var large *TooLargeError
	switch {
	case errors.As(err, &large):
		counts.out.Add(s.writeResponse(stream, statusRefused, []byte(large.Error())))
		return
	case err != nil:
		resetStream(stream, codeMalformed)
		return
	}
	counts.in.Add(h.encodedLen())
	counts.out.Add(s.runHandler(stream, peer, h, body))
}

// runHandler calls the handler, writes its response and returns the number of
// bytes written. The handler's context ends when the caller cancels the call, the
// connection is lost or the timeout expires.
func (s *Server) runHandler(stream *quic.Stream, peer Peer, h requestHeader, body []byte) int {
	ctx := stream.Context()
	if h.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.timeout)
		defer cancel()
	}
	reply, err := s.handler.Serve(ctx, peer, h.method, body)
	if err == nil && uint64(len(reply)) > s.options.MaxBodyBytes {
		err = &TooLargeError{Bytes: uint64(len(reply)), Limit: s.options.MaxBodyBytes}
	}
	if err != nil {
		return s.writeResponse(stream, statusError, []byte(err.Error()))
	}
	return s.writeResponse(stream, statusOK, reply)
}

// writeResponse writes a response and returns the number of bytes written. A
// failure means that the caller is gone, so there is nowhere to report it.
func (s *Server) writeResponse(stream *quic.Stream, st status, body []byte) int {
	n, err := stream.Write(encodeResponse(st, body))
	if err != nil {
		resetStream(stream, codeAbandoned)
		return n
	}
	_ = stream.Close()
	// Stops reading the rest of a refused request; has no effect after a complete
	// request.
	stream.CancelRead(codeAbandoned)
	return n
}

func resetStream(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Drain stops accepting connections and calls, lets the active calls finish and
// asks every client to close its connection once it has read its responses. QUIC
// drops unacknowledged data when a connection is closed, so only the client's
// close shows that the last responses arrived. A lost client never closes its
// connection, so Drain also closes connections that have had no active call for
// a second. It closes the server when all connections are closed or ctx ends; in
// the second case it returns an error.
func (s *Server) Drain(ctx context.Context) error {
	_ = s.listener.Close()
	s.mu.Lock()
	s.draining = true
	if len(s.conns) == 0 {
		s.signalNoConns()
	}
	now := time.Now()
	for _, a := range s.conns {
		a.restartIdleTime(now)
	}
	conns := make([]*quic.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		go sendDrainNotice(c)
	}
	err := s.waitForConns(ctx)
	return errors.Join(err, s.Close())
}

const (
	// drainIdleTimeout is longer than a live client takes to acknowledge its last
	// response and close its connection.
	drainIdleTimeout = time.Second
	// drainCheckInterval is the time between two searches for idle connections.
	drainCheckInterval = 50 * time.Millisecond
)

// waitForConns waits until no connection is left, and closes idle ones.
func (s *Server) waitForConns(ctx context.Context) error {
	tick := time.NewTicker(drainCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.noConns:
			return nil
		case now := <-tick.C:
			s.closeIdle(now)
		case <-ctx.Done():
			return fmt.Errorf("transport: drain of %s ended while connections were open: %w", s.Addr(), ctx.Err())
		}
	}
}

// closeIdle closes the connections that have had no active call for
// drainIdleTimeout.
func (s *Server) closeIdle(now time.Time) {
	s.mu.Lock()
	var idle []*quic.Conn
	for c, a := range s.conns {
		if a.idleTime(now) >= drainIdleTimeout {
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		_ = c.CloseWithError(codeClosed, "the server is closed")
	}
}

// sendDrainNotice tells the client to stop using the connection. A failure means
// that the connection is already closed.
func sendDrainNotice(c *quic.Conn) {
	stream, err := c.OpenUniStream()
	if err != nil {
		return
	}
	_, _ = stream.Write([]byte{drainNotice})
	_ = stream.Close()
}

// signalNoConns closes noConns unless it is closed. The caller holds mu.
func (s *Server) signalNoConns() {
	select {
	case <-s.noConns:
	default:
		close(s.noConns)
	}
}

// Close closes the server and every connection immediately. Active calls fail.
func (s *Server) Close() error {
	s.mu.Lock()
	s.cancel()
	conns := s.conns
	s.conns = make(map[*quic.Conn]*connActivity)
	s.mu.Unlock()
	for c := range conns {
		_ = c.CloseWithError(codeClosed, "the server is closed")
	}
	err := s.listener.Close()
	err = errors.Join(err, s.quicTransport.Close(), ignoreClosed(s.socket.Close()))
	s.goroutines.Wait()
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
