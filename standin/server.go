package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server serves a simulator on a TCP address and can fail as a network
// endpoint does. It is safe for concurrent use.
type Server struct {
	address string
	handler http.Handler

	mu       sync.Mutex
	http     *http.Server
	listener net.Listener
	conns    map[*conn]struct{}
	closed   bool
}

// faultSource is a handler whose fault switches the server obeys.
type faultSource interface {
	onFault(func(Fault, *conn))
}

// Serve listens on addr ("ip:port", port 0 allowed) and serves h. Faults of
// connections and of the listener that are used on h take effect here.
func Serve(addr string, h http.Handler) (*Server, error) {
	s := &Server{address: addr, handler: h, conns: map[*conn]struct{}{}}
	if err := s.listen(); err != nil {
		return nil, err
	}
	if source, ok := h.(faultSource); ok {
		source.onFault(s.fault)
	}
	return s, nil
}

// Addr returns the address with the actual port. It stays the same while the
// server refuses connections.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns "http://" and the address.
func (s *Server) URL() string { return "http://" + s.Addr() }

func (s *Server) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil || s.closed {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("standin: %w; give an address of this machine that is free", err)
	}
	s.listener = l
	s.address = l.Addr().String()
	if s.http == nil {
		s.http = &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute, ConnContext: withConn}
	}
	server := s.http
	go func() {
		// Serve always ends with an error; the listener was closed on purpose.
		_ = server.Serve(&listener{Listener: l, server: s})
	}()
	return nil
}

func (s *Server) fault(f Fault, spare *conn) {
	switch f.Kind {
	case FaultSilent:
		s.freeze(spare)
	case FaultRefuse:
		s.Refuse()
	case FaultCrash:
		s.Refuse()
		s.reset(spare)
	case FaultReturn:
		// The address was free until now; a failure leaves the runner refused.
		_ = s.Accept()
	}
}

// Freeze stops all traffic on the connections open now, for good. Nothing that
// arrives on them is executed and nothing that is written to them arrives.
func (s *Server) Freeze() { s.freeze(nil) }

func (s *Server) freeze(spare *conn) {
	for _, c := range s.open() {
		if c != spare {
			c.freeze()
		}
	}
}

// Refuse closes the listener. Open connections go on.
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
}

// Accept listens again on the same address after Refuse.
func (s *Server) Accept() error { return s.listen() }

// Reset closes all open connections at once.
func (s *Server) Reset() { s.reset(nil) }

func (s *Server) reset(spare *conn) {
	for _, c := range s.open() {
		if c != spare {
			c.reset()
		}
	}
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Close ends the server and its connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	server := s.http
	s.mu.Unlock()
	s.Refuse()
	_ = server.Close()
	s.Reset()
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// listener registers the accepted connections with the server.
type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(raw, l.server)
	l.server.add(c)
	return c, nil
}
