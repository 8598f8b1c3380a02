package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/admission"
	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/callers"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
	"github.com/phuslu/log"
)

// Server is one entry VM. Its methods are safe for concurrent use.
type Server struct {
	opts         Options
	log          *log.Logger
	counters     *counters
	client       *upstream.Client
	runners      *runners
	retryBudgets *retryBudgets
	gates        *admission.Controller
	planner      *budget.Shared
	seq          *sequence
	subscriber   *subscriber
	streams      *streams
	// forwardTransport sends resume requests to other entry VMs.
	forwardTransport *http.Transport
	started          time.Time

	callers *callers.Server
	// running tracks executions and background work of requests.
	running sync.WaitGroup
	drain   *drainState
	stop    context.CancelFunc
	loops   sync.WaitGroup
}

// NewServer returns an entry VM that is not started. It returns an error if
// Options.Check rejects o or the routing baseline does not exist.
func NewServer(o Options) (*Server, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	s := &Server{
		opts: o, log: o.Logger, counters: newCounters(), client: upstream.NewClient(o.Upstream),
		retryBudgets: newRetryBudgets(), gates: admission.NewController(admission.DefaultOptions()),
		planner: budget.NewShared(budget.DefaultOptions()), seq: newSequence(), streams: newStreams(), forwardTransport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		started: time.Now().Truncate(time.Second), drain: newDrainState(),
	}
	var err error
	if s.runners, err = newRunners(o, s.client); err != nil {
		return nil, err
	}
	s.subscriber = newSubscriber(o, s.seq)
	s.subscriber.onSettings = s.applySettings
	s.subscriber.observations = s.runners.members.Observations
	s.subscriber.onObservations = func(observations []settings.Observation) {
		s.runners.members.ApplyObservations(observations, time.Now())
	}
	return s, nil
}

// Start listens for callers and starts the background loops. The VM becomes
// ready once it has settings and a membership list.
func (s *Server) Start() error {
	limits := callers.Limits{MaxHeaderBytes: s.opts.MaxHeaderBytes, HeaderTimeout: s.opts.HeaderTimeout, IdleTimeout: s.opts.IdleTimeout}
	var err error
	if s.callers, err = callers.Listen(s.opts.Listen, limits, s.mux(), s.log); err != nil {
		return fmt.Errorf("entry: listen on %s: %w; choose a free address", s.opts.Listen, err)
	}
	s.callers.SetBounds(callers.Bounds{MaxConns: s.opts.MaxConns, WriteTimeout: s.opts.WriteTimeout, Memory: s.opts.Memory})
	s.subscriber.advertisedAddr = s.advertisedAddr()
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.startLoop(func() { s.subscriber.run(ctx) })
	s.startLoop(func() { s.subscriber.runReservations(ctx) })
	s.startLoop(func() { s.runners.run(ctx) })
	s.startLoop(func() { s.runAdmission(ctx) })
	s.startLoop(func() { (&modelLoader{s: s}).run(ctx) })
	s.startLoop(func() { newEnginePoller(s.runners, s.enginePools).run(ctx) })
	s.callers.Start()
	return nil
}

// advertisedAddr returns the address at which other entry VMs reach this one.
// It is empty if the VM listens on all addresses and Advertise is not set.
func (s *Server) advertisedAddr() string {
	if s.opts.Advertise != "" {
		return s.opts.Advertise
	}
	addr, err := netip.ParseAddrPort(s.Addr())
	if err != nil || addr.Addr().IsUnspecified() {
		return ""
	}
	return addr.String()
}

// Addr returns the address of the caller listener.
func (s *Server) Addr() string { return s.callers.Addr() }

// Version returns the settings version in effect on this VM.
func (s *Server) Version() uint64 {
	if snap := s.subscriber.snapshot(); snap != nil {
		return treeVersion(snap.tree)
	}
	return 0
}

// Session returns the current session. It is empty before the first one opens.
func (s *Server) Session() ids.SessionID {
	if snap := s.subscriber.snapshot(); snap != nil {
		return snap.session
	}
	return ids.SessionID{}
}

// startLoop runs f on a goroutine that Close waits for.
func (s *Server) startLoop(f func()) {
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		f()
	}()
}

// background runs f on a goroutine that Drain waits for.
func (s *Server) background(f func()) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		f()
	}()
}

// Ready returns nil if the VM can take requests. Otherwise the error is the
// reason why the load balancer should send none.
func (s *Server) Ready() error {
	now := time.Now()
	snap := s.subscriber.snapshot()
	switch {
	case s.isDraining() || snap != nil && snap.drain:
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

// Close stops the VM immediately. Running requests are aborted.
func (s *Server) Close() {
	s.stop()
	s.callers.Close()
	s.loops.Wait()
	s.client.Close()
	s.forwardTransport.CloseIdleConnections()
}

// handlerFunc writes the response to a request or returns the problem to
// respond with.
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
		s.callers.WriteMetrics(w)
		s.client.WriteMetrics(w)
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

// handle adapts h to http.Handler and writes a returned error as a problem
// response.
func (s *Server) handle(h handlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		room := s.opts.Memory.NewAccount(buffers.Request, buffers.FreeRequestBytes)
		defer room.Close()
		err := h(w, r.WithContext(context.WithValue(r.Context(), roomKey{}, room)))
		if err == nil {
			return
		}
		p, ok := problem.As(err)
		if !ok {
			p = fallbackProblem(r, err)
		}
		s.counters.countProblem(string(p.Reason), string(p.Execution))
		if p.Instance != "" {
			w.Header().Set(HeaderRequest, p.Instance)
		}
		p.Write(w)
	})
}

// fallbackProblem returns the problem for an error that is not a
// *problem.Problem, such as that of a caller that closed its connection.
func fallbackProblem(r *http.Request, err error) *problem.Problem {
	if r.Context().Err() != nil {
		return problem.New(problem.CallerDisconnected, problem.Unknown, "%v", err)
	}
	return problem.New(problem.UpstreamFailed, problem.Unknown, "%v", err)
}
