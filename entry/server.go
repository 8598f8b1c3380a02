package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/admission"
	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
	"github.com/phuslu/log"
)

// Server is one entry VM. Its methods are safe for concurrent use.
type Server struct {
	opts     Options
	log      *log.Logger
	counters *counters
	client   *upstream.Client
	runners  *runners
	budgets  *budgets
	gates    *admission.Shared
	times    *budget.Shared
	seq      *sequence
	sub      *subscriber
	streams  *streams
	// forwards carries resumes to other entry VMs.
	forwards *http.Transport
	started  time.Time

	listener net.Listener
	http     *http.Server
	// running counts executions and background work of requests.
	running  sync.WaitGroup
	draining atomic.Bool
	stop     context.CancelFunc
	loops    sync.WaitGroup
}

// NewServer makes an entry VM. It fails on options that Check refuses.
func NewServer(o Options) (*Server, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	s := &Server{
		opts: o, log: o.Logger, counters: newCounters(), client: upstream.NewClient(o.Upstream),
		budgets: newBudgets(), gates: admission.NewShared(admission.DefaultOptions()),
		times: budget.NewShared(budget.DefaultOptions()), seq: newSequence(), streams: newStreams(), forwards: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		started: time.Now().Truncate(time.Second),
	}
	var err error
	if s.runners, err = newRunners(o, s.client); err != nil {
		return nil, err
	}
	s.sub = newSubscriber(o, s.seq)
	s.sub.onTree = s.tune
	s.sub.signs = s.runners.members.Signs
	s.sub.onSigns = func(signs []settings.Sign) { s.runners.members.ApplySigns(signs, time.Now()) }
	return s, nil
}

// Start listens for callers and begins to follow the control VMs. The VM is
// ready once it has settings and a membership list.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.opts.Listen)
	if err != nil {
		return fmt.Errorf("entry: listen on %s: %w; choose a free address", s.opts.Listen, err)
	}
	s.listener = l
	s.sub.callers = s.advertised()
	s.http = &http.Server{
		Handler:           s.mux(),
		ReadHeaderTimeout: s.opts.HeaderTimeout,
		IdleTimeout:       s.opts.IdleTimeout,
		MaxHeaderBytes:    s.opts.MaxHeader,
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.loop(func() { s.sub.run(ctx) })
	s.loop(func() { s.sub.runReserver(ctx) })
	s.loop(func() { s.runners.run(ctx) })
	s.loop(func() { s.runAdvance(ctx) })
	s.loop(func() { (&orderGiver{s: s}).run(ctx) })
	s.loop(func() { newEnginePoller(s.runners, s.generatePools).run(ctx) })
	s.loop(func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error().Err(err).Msg("entry: the listener has failed")
		}
	})
	return nil
}

// advertised gives the address at which other entry VMs reach this one, empty
// if it listens on all addresses and none is set.
func (s *Server) advertised() string {
	if s.opts.Advertise != "" {
		return s.opts.Advertise
	}
	addr, err := netip.ParseAddrPort(s.Addr())
	if err != nil || addr.Addr().IsUnspecified() {
		return ""
	}
	return addr.String()
}

// Addr gives the address for callers.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Version gives the settings version in effect at this VM.
func (s *Server) Version() uint64 {
	if snap := s.sub.snapshot(); snap != nil {
		return version(snap.tree)
	}
	return 0
}

// Session gives the current session; it is empty before the first one.
func (s *Server) Session() ids.SessionID {
	if snap := s.sub.snapshot(); snap != nil {
		return snap.session
	}
	return ids.SessionID{}
}

func (s *Server) loop(f func()) {
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		f()
	}()
}

// background runs work that a drain waits for.
func (s *Server) background(f func()) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		f()
	}()
}

// Ready says why the load balancer should send no requests here; nil if it may.
func (s *Server) Ready() error {
	now := time.Now()
	snap := s.sub.snapshot()
	switch {
	case s.draining.Load() || snap != nil && snap.drain:
		return errors.New("draining")
	case !snap.current(now):
		return errors.New("no valid settings lease")
	case len(s.runners.members.View().Pools()) == 0:
		return errors.New("no membership list yet")
	case !s.seq.ready():
		return errors.New("no sequence number is reserved")
	default:
		return nil
	}
}

// Drain shuts the VM down without cutting off a request: it reports not ready,
// goes on serving while the load balancer notices, then closes the listener,
// waits for what runs, and flushes the audit records. It gives up waiting when
// ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.sub.draining.Store(true)
	s.log.Info().Msg("entry: draining")
	select {
	case <-time.After(s.opts.DrainWait):
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(ctx, s.opts.DrainLimit)
	defer cancel()
	err := s.http.Shutdown(limit)
	err = errors.Join(err, s.waitRunning(limit))
	err = errors.Join(err, s.opts.Audit.Flush(limit))
	err = errors.Join(err, s.sub.closeSession(limit))
	s.Close()
	if err != nil {
		return fmt.Errorf("entry: drain: %w", err)
	}
	s.log.Info().Msg("entry: drained")
	return nil
}

func (s *Server) waitRunning(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("requests are still running: %w", ctx.Err())
	}
}

// Close stops at once. Requests that still run are cut off.
func (s *Server) Close() {
	s.stop()
	_ = s.http.Close()
	s.loops.Wait()
	s.client.Close()
	s.forwards.CloseIdleConnections()
}

// handlerFunc answers a request or gives the problem to answer with.
type handlerFunc func(w http.ResponseWriter, r *http.Request) error

func (s *Server) mux() http.Handler {
	m := http.NewServeMux()
	m.Handle("POST /v1/chat/completions", s.handle(s.handleChat))
	m.Handle("GET /v1/models", s.handle(s.handleModels))
	m.Handle("POST /v1/pipelines/{name}", s.handle(s.handlePipeline))
	m.Handle("GET /v1/streams/{request}", s.handle(s.handleResume))
	m.Handle("POST /v1/services/{name}/{op}", s.handle(s.handleService))
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	m.HandleFunc("GET /readyz", s.handleReady)
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.counters.write(w)
		s.writeGauges(w)
	})
	m.Handle("/", s.handle(func(_ http.ResponseWriter, r *http.Request) error {
		return problem.New(problem.NotFound, problem.NotRun, "%s %s", r.Method, r.URL.Path)
	}))
	return m
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// handle turns the error of a handler into a problem response.
func (s *Server) handle(h handlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			// Callers drop the connection after this response, so that no
			// request is sent on one that the shutdown is about to close.
			w.Header().Set("Connection", "close")
		}
		err := h(w, r)
		if err == nil {
			return
		}
		p, ok := problem.As(err)
		if !ok {
			p = fallback(r, err)
		}
		s.counters.refused(string(p.Reason), string(p.Execution))
		if p.Instance != "" {
			w.Header().Set(HeaderRequest, p.Instance)
		}
		p.Write(w)
	})
}

// fallback is the problem of an error that is not one, such as a caller that
// has closed its connection.
func fallback(r *http.Request, err error) *problem.Problem {
	if r.Context().Err() != nil {
		return problem.New(problem.CallerGone, problem.Unknown, "%v", err)
	}
	return problem.New(problem.UpstreamFailed, problem.Unknown, "%v", err)
}
