package callers

import (
	"context"
	"fmt"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/internal/accept"
	"damaskbridge.example/damaskbridge/internal/sockopt"
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
	bounds        Bounds
	currentServer *limitedServer
	servers       map[*limitedServer]struct{}
	// conns holds the open client connections.
	conns map[*conn]struct{}
	// places is the number of connections of each client's address.
	places map[string]int
	// evicting is the number of connections that were closed for new ones.
	evicting int
	// fullAt is when there was last no place for a new client.
	fullAt time.Time
	// shortageLoggedAt is when a shortage of places was last logged.
	shortageLoggedAt time.Time
	// closed means that Close has been called.
	closed bool
	// keepAliveDisabled means that every connection closes after its next response.
	keepAliveDisabled bool
	// allClosed is closed once there are no connections, nil while nobody waits for
	// that.
	allClosed chan struct{}
	metrics   *serverMetrics
}

// limitedServer is the HTTP server for the connections that were accepted while
// the same limits of heads were in effect, since those of an http.Server cannot
// change while it is running. Idle timeouts are those of conn.
type limitedServer struct {
	httpServer *http.Server
	listener   *connListener
	// conns is the number of its connections, guarded by Server.mu.
	conns int
}

// Listen listens on addr for connections that h is to serve. Start begins to accept
// them; Shutdown or Close ends that.
func Listen(addr string, limits Limits, h http.Handler, logger *log.Logger) (*Server, error) {
	config := net.ListenConfig{Control: sockopt.BufferSizes(socketBufferBytes)}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, handler: h, log: logger, stopped: make(chan struct{}), conns: map[*conn]struct{}{}, places: map[string]int{}, servers: map[*limitedServer]struct{}{}, metrics: newServerMetrics()}
	s.SetLimits(limits)
	return s, nil
}

// Start begins to accept connections.
func (s *Server) Start() {
	go accept.Loop(s.listener, s.stopped, s.accept, func(err error) {
		s.log.Warn().Err(err).Msg("callers: accept failed")
	})
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetLimits puts l in effect. The limits of heads apply to new connections. A
// longer idle timeout applies to open ones at once, a shorter one from their next
// response on.
func (s *Server) SetLimits(l Limits) {
	l = l.withDefaults()
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.limits
	s.limits = l
	for c := range s.conns {
		c.raiseIdleTimeout(l.IdleTimeout)
	}
	if s.currentServer != nil && old.MaxHeaderBytes == l.MaxHeaderBytes && old.HeaderTimeout == l.HeaderTimeout {
		return
	}
	s.startServer()
}

// startServer starts the HTTP server for the connections that are accepted from
// now on. It is called with mu held.
func (s *Server) startServer() {
	server := &limitedServer{
		httpServer: &http.Server{
			Handler: http.HandlerFunc(s.serve), ConnContext: contextWithConn, ConnState: s.trackState,
			// Without an IdleTimeout net/http leaves idle connections to conn.
			MaxHeaderBytes: s.limits.MaxHeaderBytes, ReadHeaderTimeout: s.limits.HeaderTimeout,
			ErrorLog: stdlog.New(&errorLog{s.log}, "", 0),
		},
		listener: newConnListener(s.listener.Addr()),
	}
	old := s.currentServer
	s.currentServer = server
	s.servers[server] = struct{}{}
	go func() { _ = server.httpServer.Serve(server.listener) }()
	if old != nil {
		s.endUnused(old)
	}
}

// endUnused ends a server that has no connections and gets no new ones. It is
// called with mu held.
func (s *Server) endUnused(server *limitedServer) {
	if server == s.currentServer || server.conns > 0 {
		return
	}
	delete(s.servers, server)
	// Not under the lock, for the reason given in Close.
	go func() { _ = server.httpServer.Close() }()
}

func (s *Server) accept(raw net.Conn) {
	now := time.Now()
	address := hostOf(raw.RemoteAddr())
	s.mu.Lock()
	if !s.makeRoom(now, address) {
		s.mu.Unlock()
		_ = raw.Close()
		return
	}
	server := s.currentServer
	server.conns++
	c := &conn{
		Conn: raw, server: server, address: address, progressAt: now,
		headTimeout: server.httpServer.ReadHeaderTimeout, writeTimeout: s.bounds.WriteTimeout,
	}
	if s.bounds.Memory != nil {
		c.head = s.bounds.Memory.NewAccount(buffers.Request, buffers.FreeRequestBytes)
	}
	s.conns[c] = struct{}{}
	s.places[address]++
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
		if !c.endRequest(time.Now(), s.limits.IdleTimeout) {
			s.closeMisaligned(c)
			return
		}
		if s.keepAliveDisabled {
			c.closeIdle()
		}
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	}
}

// closeMisaligned closes a connection on which net/http would take the rest of a body
// for the next request.
func (s *Server) closeMisaligned(c *conn) {
	s.metrics.connsMisaligned.Inc()
	s.log.Warn().Str("caller", c.address).Msg("callers: the body of an answered request was not read to its end; the connection is closed")
	_ = c.Conn.Close()
}

// remove forgets a closed connection. It is called with mu held.
func (s *Server) remove(c *conn) {
	if _, open := s.conns[c]; !open {
		return
	}
	delete(s.conns, c)
	c.server.conns--
	if s.places[c.address]--; s.places[c.address] == 0 {
		delete(s.places, c.address)
	}
	if c.end() {
		s.evicting--
	}
	s.endUnused(c.server)
	if reason := c.unanswered(s.closed); reason != "" {
		s.metrics.recordUnanswered(reason)
		s.log.Info().Str("caller", c.RemoteAddr().String()).Str("reason", string(reason)).Msg("callers: a request got no whole response")
	}
	if s.allClosed != nil && len(s.conns) == 0 {
		close(s.allClosed)
		s.allClosed = nil
	}
}

// serve handles one request. A panic of the handler is answered if nothing was
// written yet.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := connFromRequest(r)
	if !c.beginRequest(r.ContentLength) {
		panic(http.ErrAbortHandler)
	}
	if c.hasLeft() {
		c.finishHandler(callerLeftBefore)
		panic(http.ErrAbortHandler)
	}
	out := &responseWriter{ResponseWriter: w, server: s}
	defer func() {
		if v := recover(); v != nil {
			s.recoverHandler(c, out, r, v)
		}
	}()
	s.handler.ServeHTTP(out, r)
	c.finishHandler("")
}

// recoverHandler ends the response of a handler that has panicked with v.
func (s *Server) recoverHandler(c *conn, out *responseWriter, r *http.Request, v any) {
	if v == http.ErrAbortHandler {
		reason := handlerAborted
		if r.Context().Err() != nil {
			reason = callerLeft
		}
		c.finishHandler(reason)
		panic(v)
	}
	s.metrics.panics.Inc()
	s.log.Error().Str("panic", fmt.Sprint(v)).Str("stack", string(debug.Stack())).Bool("answered", !out.wroteHeader).
		Msg("callers: the handler of a request has panicked; report the stack")
	if out.wroteHeader {
		c.finishHandler(handlerPanicked)
		panic(http.ErrAbortHandler)
	}
	clear(out.Header())
	out.Header().Set("Connection", "close")
	http.Error(out, "internal error; the request may have been executed", http.StatusInternalServerError)
	c.finishHandler("")
}

func (s *Server) isKeepAliveDisabled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepAliveDisabled
}

// DisableKeepAlive makes every subsequent response close its connection, and
// closes the connections that wait for a further request.
func (s *Server) DisableKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAliveDisabled = true
	for c := range s.conns {
		c.closeIdle()
	}
}

// Shutdown accepts no more connections and waits until all have ended, each after
// its next response, or until ctx ends; then it closes the remaining connections.
// http.Server.Shutdown would also close those of which a request is being read.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopListening()
	s.DisableKeepAlive()
	var err error
	select {
	case <-s.connsClosed():
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.Close()
	return err
}

func (s *Server) stopListening() {
	s.stopOnce.Do(func() { close(s.stopped) })
	_ = s.listener.Close()
}

// Close closes the listener and all connections. Requests that are handled get no
// response.
func (s *Server) Close() {
	s.stopListening()
	s.mu.Lock()
	s.closed = true
	servers := slices.Collect(maps.Keys(s.servers))
	s.mu.Unlock()
	// http.Server.Close waits for its accept loop, whose state hook needs the lock.
	for _, server := range servers {
		_ = server.httpServer.Close()
	}
}

// connsClosed returns a channel that is closed once all connections have ended.
func (s *Server) connsClosed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allClosed == nil {
		s.allClosed = make(chan struct{})
	}
	done := s.allClosed
	if len(s.conns) == 0 {
		close(done)
		s.allClosed = nil
	}
	return done
}

// hostOf returns an address without its port.
func hostOf(addr net.Addr) string {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return host
}

// errorLog writes the error messages of net/http to the log.
type errorLog struct{ log *log.Logger }

func (e *errorLog) Write(b []byte) (int, error) {
	e.log.Debug().Str("detail", string(b)).Msg("callers: connection error")
	return len(b), nil
}
