package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/transport"
)

// Options configure a Gateway.
type Options struct {
	// Self is this VM's address for other VMs.
	Self   string
	Places placement.Places
	Budget BudgetOptions
	// DrainTime is how long a leaving runner may still get requests.
	DrainTime time.Duration
	Upstreams Upstreams
	Caller    transport.Caller
	Logger    *log.Logger
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	opts     Options
	log      *log.Logger
	state    atomic.Pointer[directory.State]
	runners  *runners
	budgets  *budgets
	pieces   *pieceServer
	patience *patienceBook
	engines  *engineTimes
	holds    *inputHolds
	count    *counters
	stopping atomic.Bool
	// known is closed once this VM knows the routes and the runners.
	known     chan struct{}
	knownOnce sync.Once
}

// New makes a gateway; Run starts what it does by itself.
func New(o Options) *Gateway {
	g := &Gateway{
		opts: o, log: o.Logger,
		// Half of the time is kept for the way of the list and of the request.
		runners: newRunners(o.Places, o.DrainTime/2),
		budgets: newBudgets(o.Budget),
		count:   newCounters(),
		known:   make(chan struct{}),

		patience: newPatienceBook(),
		engines:  newEngineTimes(),
		holds:    newInputHolds(),
	}
	g.pieces = newPieceServer(g)
	g.state.Store(&directory.State{})
	return g
}

// Run assembles stage calls until ctx ends.
func (g *Gateway) Run(ctx context.Context) { g.pieces.run(ctx) }

// Update takes what the directory says. It is called on one goroutine.
func (g *Gateway) Update(s *directory.State) {
	old := g.state.Swap(s)
	if s.List != nil && s.List != old.List {
		g.runners.take(time.Now(), s.List)
	}
	if len(s.Entries) != len(old.Entries) {
		g.budgets.share(len(s.Entries))
	}
	g.pieces.refresh()
	if s.Table != nil && s.List != nil {
		g.knownOnce.Do(func() { close(g.known) })
	}
}

const (
	// awaitShare is the part of a caller's patience for which a request waits
	// at a VM that has just started: it mostly knows the routes within a
	// second, and a refused caller comes back once only.
	awaitShare = 0.15
	mostAwait  = time.Second
)

// awaitKnown waits for the first catalog and list of runners.
func (g *Gateway) awaitKnown(ctx context.Context, patience time.Duration) {
	select {
	case <-g.known:
		return
	default:
	}
	timer := time.NewTimer(min(time.Duration(awaitShare*float64(patience)), mostAwait))
	defer timer.Stop()
	select {
	case <-g.known:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// idleShareOf is the part of a runner's connections that all entry VMs together
// may keep idle; the rest is for requests under way.
const idleShareOf = 0.5

// idleShare gives the idle connections that this VM may keep to one runner of a
// service, negative for none: a runner resets the connections over its limit.
func (g *Gateway) idleShare(s *catalog.Service) int {
	if s.MaxConns <= 0 {
		return 0
	}
	vms := max(len(g.state.Load().Entries), 1)
	share := int(idleShareOf * float64(s.MaxConns) / float64(vms))
	if share == 0 {
		return -1
	}
	return share
}

// Ready says whether this VM can serve: it knows the routes and the runners
// and is not stopping.
func (g *Gateway) Ready() bool {
	s := g.state.Load()
	return s.Table != nil && s.List != nil && !g.stopping.Load()
}

// Stop has requests that cannot end in time refused. Requests under way go on.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Table gives the catalog in force, nil before the first.
func (g *Gateway) Table() *catalog.Table { return g.state.Load().Table }

// zoneOf gives the data centre of another entry VM, "" if it is not known.
func (g *Gateway) zoneOf(addr string) string {
	for _, e := range g.state.Load().Entries {
		if e.Addr == addr {
			return e.Zone
		}
	}
	return ""
}

// ServePeer answers transport.MethodPieces and transport.MethodFreePieces of
// other entry VMs.
func (g *Gateway) ServePeer(ctx context.Context, m transport.Method, body []byte) ([]byte, error) {
	return g.pieces.serve(ctx, m, body)
}
