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
	codeClosed    quic.ApplicationErrorCode = 1
	codeIdentity  quic.ApplicationErrorCode = 2
	codeSilent    quic.ApplicationErrorCode = 3
	codeReplaced  quic.ApplicationErrorCode = 4
	codeAbandoned quic.StreamErrorCode      = 1
	codeMalformed quic.StreamErrorCode      = 2
)

// drainNotice is the only message on a stream that the server opens.
const drainNotice byte = 1

// streamBuffer is the read buffer of one stream in bytes. Most calls fit in it.
const streamBuffer = 512

// Server accepts connections and passes their calls to a handler. It is safe
// for concurrent use.
type Server struct {
	handler  Handler
	options  Options
	socket   net.PacketConn
	quic     *quic.Transport
	listener *quic.Listener
	slots    chan struct{}

	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	draining bool
	empty    chan struct{} // closed when draining and no connection is left
	conns    map[*quic.Conn]*activity
	loops    sync.WaitGroup
}

// Listen serves calls on addr ("ip:port", port 0 for any) with the default
// limits.
func Listen(addr string, creds Credentials, h Handler) (*Server, error) {
	return ListenWith(addr, creds, h, Options{})
}

// ListenWith serves calls on addr with the given limits.
func ListenWith(addr string, creds Credentials, h Handler, o Options) (*Server, error) {
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
		handler: h, options: o, socket: socket, quic: tr, listener: listener,
		slots: make(chan struct{}, o.MaxCalls), ctx: ctx, cancel: cancel,
		empty: make(chan struct{}), conns: make(map[*quic.Conn]*activity),
	}
	s.loops.Add(1)
	go s.acceptConns()
	return s, nil
}

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.socket.LocalAddr().String() }

func (s *Server) acceptConns() {
	defer s.loops.Done()
	for {
		conn, err := s.listener.Accept(s.ctx)
		if err != nil {
			return
		}
		a, ok := s.add(conn)
		if !ok {
			_ = conn.CloseWithError(codeClosed, "the server is closed")
			continue
		}
		connsAccepted.Inc()
		go s.serveConn(conn, a)
	}
}

// add registers conn and its loop unless the server is closed.
func (s *Server) add(conn *quic.Conn) (a *activity, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.ctx.Err() != nil {
		return nil, false
	}
	a = newActivity(time.Now())
	s.conns[conn] = a
	s.loops.Add(1)
	return a, true
}

func (s *Server) remove(conn *quic.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	if s.draining && len(s.conns) == 0 {
		s.closeEmpty()
	}
	s.mu.Unlock()
}

func (s *Server) serveConn(conn *quic.Conn, a *activity) {
	defer s.loops.Done()
	defer s.remove(conn)
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
		// Without a free slot the streams of this connection stay unread and
		// flow control holds their senders back.
		select {
		case s.slots <- struct{}{}:
		case <-conn.Context().Done():
			return
		}
		a.begin()
		go func() {
			defer a.end(time.Now)
			s.serveStream(stream, peer)
		}()
	}
}

func (s *Server) serveStream(stream *quic.Stream, peer Peer) {
	defer func() { <-s.slots }()
	r := bufio.NewReaderSize(stream, streamBuffer)
	h, err := readRequestHeader(r)
	if err != nil {
		resetStream(stream, codeMalformed)
		return
	}
	n := countersOf(h.method)
	n.calls.Inc()
	if h.method == methodHello && h.length == 0 {
		n.out.Add(s.answer(stream, statusOK, nil))
		return
	}
	if s.isDraining() {
		n.out.Add(s.answer(stream, statusRefused, []byte("the process is shutting down; call another VM")))
		return
	}
	body, err := readBody(r, h.length, s.options.MaxBody)
	var large *TooLargeError
	switch {
	case errors.As(err, &large):
		n.out.Add(s.answer(stream, statusRefused, []byte(large.Error())))
		return
	case err != nil:
		resetStream(stream, codeMalformed)
		return
	}
	n.in.Add(h.bytes())
	n.out.Add(s.handle(stream, peer, h, body))
}

// handle runs the handler and sends its answer. The handler's context ends
// when the caller has given up, its connection is gone or its time has passed.
func (s *Server) handle(stream *quic.Stream, peer Peer, h requestHeader, body []byte) int {
	ctx := stream.Context()
	if h.left > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.left)
		defer cancel()
	}
	reply, err := s.handler.Serve(ctx, peer, h.method, body)
	if err == nil && uint64(len(reply)) > s.options.MaxBody {
		err = &TooLargeError{Bytes: uint64(len(reply)), Limit: s.options.MaxBody}
	}
	if err != nil {
		return s.answer(stream, statusError, []byte(err.Error()))
	}
	return s.answer(stream, statusOK, reply)
}

// answer sends a response and gives the number of bytes written. A failure
// here means that the caller is gone, and there is no one to tell.
func (s *Server) answer(stream *quic.Stream, st status, body []byte) int {
	n, err := stream.Write(encodeResponse(st, body))
	if err != nil {
		resetStream(stream, codeAbandoned)
		return n
	}
	_ = stream.Close()
	// The rest of a refused request is not wanted; after a whole request this
	// has no effect.
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

// Drain stops accepting connections and calls, lets the running calls finish
// and asks every client to close its connection once it has read its answers.
// QUIC drops unacknowledged data when a connection is closed, so only the
// client's close shows that the last answers arrived. A client that is lost
// never closes, so a connection without a running call for drainQuiet is closed
// as well. Drain closes the server when all connections are gone or ctx ends; in
// the second case it returns an error.
func (s *Server) Drain(ctx context.Context) error {
	_ = s.listener.Close()
	s.mu.Lock()
	s.draining = true
	if len(s.conns) == 0 {
		s.closeEmpty()
	}
	now := time.Now()
	for _, a := range s.conns {
		a.touch(now)
	}
	conns := make([]*quic.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		go announceDrain(c)
	}
	err := s.awaitEmpty(ctx)
	return errors.Join(err, s.Close())
}

const (
	// drainQuiet is longer than the time in which a client that is alive has
	// acknowledged its last answer and closed its connection.
	drainQuiet = time.Second
	// drainCheck is the time between two looks for quiet connections.
	drainCheck = 50 * time.Millisecond
)

// awaitEmpty waits until no connection is left and closes quiet ones.
func (s *Server) awaitEmpty(ctx context.Context) error {
	tick := time.NewTicker(drainCheck)
	defer tick.Stop()
	for {
		select {
		case <-s.empty:
			return nil
		case now := <-tick.C:
			s.closeQuiet(now)
		case <-ctx.Done():
			return fmt.Errorf("transport: drain of %s ended with open connections: %w", s.Addr(), ctx.Err())
		}
	}
}

// closeQuiet closes the connections that have had no call for drainQuiet.
func (s *Server) closeQuiet(now time.Time) {
	s.mu.Lock()
	var quiet []*quic.Conn
	for c, a := range s.conns {
		if a.quiet(now) >= drainQuiet {
			quiet = append(quiet, c)
		}
	}
	s.mu.Unlock()
	for _, c := range quiet {
		_ = c.CloseWithError(codeClosed, "the server is closed")
	}
}

// announceDrain tells the client to use another connection. A failure means
// that the connection is gone.
func announceDrain(c *quic.Conn) {
	stream, err := c.OpenUniStream()
	if err != nil {
		return
	}
	_, _ = stream.Write([]byte{drainNotice})
	_ = stream.Close()
}

// closeEmpty reports that no connection is left. The caller holds mu.
func (s *Server) closeEmpty() {
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// Close closes the server and every connection at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.cancel()
	conns := s.conns
	s.conns = make(map[*quic.Conn]*activity)
	s.mu.Unlock()
	for c := range conns {
		_ = c.CloseWithError(codeClosed, "the server is closed")
	}
	err := s.listener.Close()
	err = errors.Join(err, s.quic.Close(), ignoreClosed(s.socket.Close()))
	s.loops.Wait()
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
