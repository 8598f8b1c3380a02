package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/advice"
	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/quarantine"
	"damaskbridge.example/damaskbridge/transport"
)

// Options configures a Gateway.
type Options struct {
	// Self is the address at which other VMs reach this VM.
	Self        string
	Topology    placement.Topology
	RetryBudget RetryBudgetOptions
	// WarmUps bounds what runners get that warm up.
	WarmUps WarmUpOptions
	// ListLag is how much later than what is so the platform's list of runners may be.
	ListLag time.Duration
	// DrainTime is how long a draining runner may still receive requests.
	DrainTime time.Duration
	Upstreams Upstreams
	// Memory bounds what is buffered of requests and answers. Without it there is no
	// bound.
	Memory *buffers.Memory
	Caller transport.Caller
	Logger *log.Logger
}

// Gateway routes callers' requests to runners. It is safe for concurrent use.
type Gateway struct {
	opts           Options
	log            *log.Logger
	state          atomic.Pointer[directory.State]
	runners        *runnerSet
	budgets        *retryBudgets
	pieces         *pieceScheduler
	callerTimeouts *timeoutTracker
	firstEvents    *latencyTracker
	// durations holds the time of requests at the runners that have answered them.
	durations *latencyTracker
	holds     *inputHoldTimes
	answers   answerMemory
	evidence  *quarantine.Evidence
	// advice holds what runners have asked for in their answers.
	advice  advice.Book
	metrics *gatewayMetrics
	// stopPlan is nil unless this VM stops. open holds the requests under way.
	stopPlan atomic.Pointer[StopPlan]
	open     openRequests
	// assembling ends once this VM runs no more pieces for other VMs.
	assembling     context.Context
	stopAssembling context.CancelFunc
	// configured is closed once this VM has the catalog, the runner list and,
	// unless that takes longer than maxRosterWait, the list of entry VMs.
	configured     chan struct{}
	configuredOnce sync.Once
	rosterWaitOnce sync.Once
}

// New returns a Gateway. Run starts its background work.
func New(o Options) *Gateway {
	g := &Gateway{
		opts: o, log: o.Logger,
		budgets:    newRetryBudgets(o.RetryBudget),
		metrics:    newGatewayMetrics(),
		configured: make(chan struct{}),
		open:       openRequests{set: map[*openRequest]struct{}{}},

		callerTimeouts: newTimeoutTracker(),
		firstEvents:    newLatencyTracker(),
		durations:      newLatencyTracker(),
		holds:          newInputHoldTimes(),
		evidence:       quarantine.NewEvidence(o.ListLag + listDelay),
	}
	// Draining runners are used for half of DrainTime. The other half allows for the
	// propagation of the runner list and the transfer of the request.
	g.runners = newRunnerSet(o.Topology, o.DrainTime/2, &g.advice, newWarmUps(o.WarmUps, o.Self, g.metrics.warmUpRequests))
	g.metrics.set.NewGauge("damask_gateway_evacuated_data_centres", func() float64 { return float64(len(g.runners.evacuations.Load().Evacuated())) })
	g.pieces = newPieceScheduler(g)
	g.assembling, g.stopAssembling = context.WithCancel(context.Background())
	g.answers.memory = o.Memory
	g.state.Store(&directory.State{})
	return g
}

// listDelay covers the time between two readings of the platform's list and the way of
// what was read to this VM.
const listDelay = 2 * time.Second

// Run schedules stage calls until ctx is done.
func (g *Gateway) Run(ctx context.Context) { g.pieces.run(ctx) }

// Update applies a new state of the directory. It must not be called
// concurrently.
func (g *Gateway) Update(s *directory.State) {
	old := g.state.Swap(s)
	g.runners.setState(time.Now(), s)
	if s.List != nil && s.List != old.List {
		g.runners.update(time.Now(), s.List, g.listTruth(old))
	}
	g.runners.settleLeaving(g.listTruth(s))
	g.settleLosses(s)
	g.probeRunners(s)
	if len(s.Entries) != len(old.Entries) {
		g.budgets.setVMs(len(s.Entries))
	}
	g.pieces.refresh()
	if s.Table == nil || s.List == nil {
		return
	}
	if len(s.Entries) > 0 {
		g.markConfigured()
		return
	}
	g.rosterWaitOnce.Do(func() { time.AfterFunc(maxRosterWait, g.markConfigured) })
}

// listTruth returns what tells, for a data centre, the latest time at which its runners
// are known to have been as the list of a state shows them. The platform's list lags.
func (g *Gateway) listTruth(s *directory.State) func(zone string) time.Time {
	return func(zone string) time.Time { return s.ListAsOf(zone).Add(-g.opts.ListLag) }
}

func (g *Gateway) markConfigured() {
	g.configuredOnce.Do(func() { close(g.configured) })
}

const (
	// startupWaitShare is the share of a caller's timeout for which a request
	// waits at a VM that has just started. Such a VM usually receives the routes
	// within a second, and a refused caller retries only once.
	startupWaitShare = 0.15
	maxStartupWait   = time.Second
	// maxRosterWait is how long requests wait for the list of entry VMs after
	// everything else is known. A VM that knows no others assembles stage calls
	// alone; if all VMs that start after a power loss do so, their small calls fill
	// the runners' queues and memory for seconds.
	maxRosterWait = 400 * time.Millisecond
)

// awaitConfigured waits until this VM is configured, but only for a share of the
// caller's timeout.
func (g *Gateway) awaitConfigured(ctx context.Context, timeout time.Duration) {
	select {
	case <-g.configured:
		return
	default:
	}
	timer := time.NewTimer(min(time.Duration(startupWaitShare*float64(timeout)), maxStartupWait))
	defer timer.Stop()
	select {
	case <-g.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// idleConnShare is the share of a runner's connection limit that all entry VMs
// together may keep idle. The rest is left for requests in flight.
const idleConnShare = 0.5

// maxIdleConns returns how many idle connections this VM may keep to one runner
// of a service, or a negative number for none. A runner resets connections
// beyond its limit.
func (g *Gateway) maxIdleConns(s *catalog.Service) int {
	if s.MaxConns <= 0 {
		return 0
	}
	vms := max(len(g.state.Load().Entries), 1)
	share := int(idleConnShare * float64(s.MaxConns) / float64(vms))
	if share == 0 {
		return -1
	}
	return share
}

// Ready reports whether this VM can serve requests: it has the catalog and the
// runner list and is not stopping.
func (g *Gateway) Ready() bool {
	s := g.state.Load()
	return s.Table != nil && s.List != nil && g.stopPlan.Load() == nil
}

// Table returns the current catalog, or nil before the first update.
func (g *Gateway) Table() *catalog.Table { return g.state.Load().Table }

// zoneOf returns the zone of another entry VM, or "" if the VM is unknown.
func (g *Gateway) zoneOf(addr string) string {
	for _, e := range g.state.Load().Entries {
		if e.Addr == addr {
			return e.Zone
		}
	}
	return ""
}

// ServePeer handles transport.MethodPieces and transport.MethodFreePieces calls
// from other entry VMs.
func (g *Gateway) ServePeer(ctx context.Context, m transport.Method, body []byte) ([]byte, error) {
	return g.pieces.serve(ctx, m, body)
}
