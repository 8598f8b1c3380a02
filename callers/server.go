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

// Server serves callers. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	handler  http.Handler
	log      *log.Logger
	stopped  chan struct{}
	once     sync.Once

	mu      sync.Mutex
	limits  Limits
	current *generation
	all     []*generation
	// open are the callers' connections. Ending says that none is kept after an
	// answer.
	open   map[*conn]struct{}
	ending bool
}

// generation is the HTTP server of the connections that began under the same
// limits.
type generation struct {
	http  *http.Server
	conns *feed
}

// Listen serves h at addr until Stop.
func Listen(addr string, h http.Handler, logger *log.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, handler: h, log: logger, stopped: make(chan struct{}), open: map[*conn]struct{}{}}
	s.SetLimits(Limits{})
	go accept.Loop(s.listener, s.stopped, s.take, func(err error) {
		s.log.Warn().Err(err).Msg("callers: accept failed")
	})
	return s, nil
}

// Addr is the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetLimits has new connections bound by l. Open ones keep their limits.
func (s *Server) SetLimits(l Limits) {
	l = l.withDefaults()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.limits == l {
		return
	}
	g := &generation{
		http: &http.Server{
			Handler: http.HandlerFunc(s.serve), ConnContext: withConn, ConnState: s.follow, MaxHeaderBytes: l.MaxHeaderBytes,
			ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
			ErrorLog: stdlog.New(&errorLog{s.log}, "", 0),
		},
		conns: newFeed(s.listener.Addr()),
	}
	s.limits, s.current = l, g
	s.all = append(s.all, g)
	go func() { _ = g.http.Serve(g.conns) }()
}

func (s *Server) take(raw net.Conn) {
	c := &conn{Conn: raw}
	s.mu.Lock()
	g := s.current
	s.open[c] = struct{}{}
	s.mu.Unlock()
	if !g.conns.give(c) {
		s.follow(c, http.StateClosed)
		_ = c.Close()
	}
}

// follow notes the state of a connection.
func (s *Server) follow(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.end()
		if s.ending {
			c.closeIdle()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	}
}

// serve answers one request, unless its connection was closed before.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r); c != nil && !c.begin() {
		panic(http.ErrAbortHandler)
	}
	s.handler.ServeHTTP(&answer{ResponseWriter: w, server: s}, r)
}

func (s *Server) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// EndKeepAlive has every answer from now on end its connection and closes those
// without a request.
func (s *Server) EndKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	for c := range s.open {
		c.closeIdle()
	}
}

// Stop takes no more connections and waits for the requests under way until
// ctx ends; then it closes what is left.
func (s *Server) Stop(ctx context.Context) error {
	s.once.Do(func() { close(s.stopped) })
	_ = s.listener.Close()
	s.mu.Lock()
	all := s.all
	s.mu.Unlock()
	errs := make([]error, len(all))
	var waits sync.WaitGroup
	for i, g := range all {
		waits.Go(func() {
			if errs[i] = g.http.Shutdown(ctx); errs[i] != nil {
				_ = g.http.Close()
			}
		})
	}
	waits.Wait()
	return errors.Join(errs...)
}

// errorLog passes what net/http reports on to the log.
type errorLog struct{ log *log.Logger }

func (e *errorLog) Write(b []byte) (int, error) {
	e.log.Debug().Str("detail", string(b)).Msg("callers: connection error")
	return len(b), nil
}
