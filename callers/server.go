package callers

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync"

	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/internal/accept"
)

// Server is an HTTP/1.1 server for clients. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	handler  http.Handler
	log      *log.Logger
	stopped  chan struct{}
	stopOnce sync.Once

	mu            sync.Mutex
	limits        Limits
	currentServer *limitedServer
	servers       []*limitedServer
	// conns holds the open client connections.
	conns map[*conn]struct{}
	// keepAliveDisabled means that every connection closes after its next response.
	keepAliveDisabled bool
}

// limitedServer is the HTTP server for the connections that were accepted while
// the same limits were in effect, since the limits of an http.Server cannot
// change while it is running.
type limitedServer struct {
	httpServer *http.Server
	listener   *connListener
}

// Listen serves h on addr with the default limits until Shutdown.
func Listen(addr string, h http.Handler, logger *log.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, handler: h, log: logger, stopped: make(chan struct{}), conns: map[*conn]struct{}{}}
	s.SetLimits(Limits{})
	go accept.Loop(s.listener, s.stopped, s.accept, func(err error) {
		s.log.Warn().Err(err).Msg("callers: accept failed")
	})
	return s, nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetLimits applies l to new connections. Open ones keep their limits.
func (s *Server) SetLimits(l Limits) {
	l = l.withDefaults()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentServer != nil && s.limits == l {
		return
	}
	server := &limitedServer{
		httpServer: &http.Server{
			Handler: http.HandlerFunc(s.serve), ConnContext: contextWithConn, ConnState: s.trackState, MaxHeaderBytes: l.MaxHeaderBytes,
			ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
			ErrorLog: stdlog.New(&errorLog{s.log}, "", 0),
		},
		listener: newConnListener(s.listener.Addr()),
	}
	s.limits, s.currentServer = l, server
	s.servers = append(s.servers, server)
	go func() { _ = server.httpServer.Serve(server.listener) }()
}

func (s *Server) accept(raw net.Conn) {
	c := &conn{Conn: raw}
	s.mu.Lock()
	server := s.currentServer
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if !server.listener.deliver(c) {
		s.trackState(c, http.StateClosed)
		_ = c.Close()
	}
}

// trackState updates the connection's state when net/http reports a change.
func (s *Server) trackState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.endRequest()
		if s.keepAliveDisabled {
			c.closeIdle()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// serve handles one request, or aborts it if its connection was already closed
// as idle.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if c := connFromRequest(r); c != nil && !c.beginRequest() {
		panic(http.ErrAbortHandler)
	}
	s.handler.ServeHTTP(&responseWriter{ResponseWriter: w, server: s}, r)
}

func (s *Server) isKeepAliveDisabled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepAliveDisabled
}

// DisableKeepAlive makes every subsequent response close its connection, and
// closes the connections that are idle after a request.
func (s *Server) DisableKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAliveDisabled = true
	for c := range s.conns {
		c.closeIdle()
	}
}

// Shutdown accepts no more connections and waits for the active requests until
// ctx ends; then it closes the remaining connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopOnce.Do(func() { close(s.stopped) })
	_ = s.listener.Close()
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	errs := make([]error, len(servers))
	var shutdowns sync.WaitGroup
	for i, server := range servers {
		shutdowns.Go(func() {
			if errs[i] = server.httpServer.Shutdown(ctx); errs[i] != nil {
				_ = server.httpServer.Close()
			}
		})
	}
	shutdowns.Wait()
	return errors.Join(errs...)
}

// errorLog writes the error messages of net/http to the log.
type errorLog struct{ log *log.Logger }

func (e *errorLog) Write(b []byte) (int, error) {
	e.log.Debug().Str("detail", string(b)).Msg("callers: connection error")
	return len(b), nil
}
