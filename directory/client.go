package directory

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/delta"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/quarantine"
	"damaskbridge.example/damaskbridge/transport"
)

const (
	longPollWait = time.Second
	// startPollWait replaces longPollWait while the VM has no document.
	startPollWait = 700 * time.Millisecond
	watchTimeout  = 1800 * time.Millisecond
	// maxStaleness is the maximum age of a control VM's state; beyond it the
	// client switches to another control VM. A control VM reports to the leader
	// several times within it.
	maxStaleness = 2 * time.Second
)

// Decode decodes the body of a document.
type Decode func(body []byte) (*catalog.Catalog, error)

// ClientOptions configure a Client.
type ClientOptions struct {
	Self EntryVM
	// Seeds returns the addresses of some control VMs.
	Seeds  func() []string
	Caller transport.Caller
	Decode Decode
	Logger *log.Logger
	// Report returns what this VM has observed of crashed runners. It is called
	// with the parts that are quarantined; nil stands for no reports.
	Report func(now time.Time, quarantined quarantine.Known) *quarantine.Report
	// Changed is called on the client's goroutine after each new State.
	Changed func(*State)
}

// Client keeps an entry VM's State up to date. The methods State,
// MarkDraining, IsStuck and WriteMetrics are safe for concurrent use.
type Client struct {
	opts     ClientOptions
	state    atomic.Pointer[State]
	draining atomic.Bool
	monitor  *applyMonitor

	// The fields below belong to Run's goroutine.
	controlAddrs []string
	current      string
	// abandoned is the control VM that was given up last.
	abandoned  string
	reselectAt time.Time
	// startInterval is the pause before the next round while there is no document.
	startInterval time.Duration
	store         *delta.Store
	// runners holds the decoded sets of runners by name.
	runners map[string][]Runner
	// document is the newest document, from which patches start.
	document *catalog.Document
	// needsDocument makes the next call ask for the whole document.
	needsDocument bool
	legacy        legacyCall
}

// NewClient returns a client. Call Run to start it.
func NewClient(o ClientOptions) *Client {
	c := &Client{opts: o, monitor: newApplyMonitor(o.Logger), store: delta.NewStore(), runners: map[string][]Runner{}}
	c.state.Store(&State{})
	return c
}

// State returns the newest state. It is never nil.
func (c *Client) State() *State { return c.state.Load() }

// IsStuck reports whether a new state is being applied for so long that callers
// are better served by other VMs.
func (c *Client) IsStuck(now time.Time) bool { return c.monitor.running(now) > stuckApply }

// WriteMetrics writes the client's metrics in the Prometheus text format.
func (c *Client) WriteMetrics(w io.Writer) { c.monitor.set.WritePrometheus(w) }

// MarkDraining announces to other VMs that this VM is stopping.
func (c *Client) MarkDraining() { c.draining.Store(true) }

// Run watches control VMs until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.current == "" || time.Now().After(c.reselectAt) {
			c.selectControl(ctx)
		}
		addr := c.current
		if addr == "" {
			timer.Sleep(ctx, c.nextRetryInterval())
			continue
		}
		err := c.watch(ctx, addr)
		if err != nil && ctx.Err() == nil {
			c.abandonControl(ctx, addr, err)
		}
	}
}

// watch sends one call to a control VM and applies the reply. It returns an
// error if the control VM is of no more use. A VM without a document waits for
// a while until a leader has confirmed the nearest control VM's state: after a
// power loss no other one is better off.
func (c *Client) watch(ctx context.Context, addr string) error {
	starting := c.State().Table == nil
	wait := longPollWait
	if starting {
		wait = startPollWait
	}
	call := c.newCall(time.Now(), wait)
	sentAt := time.Now()
	reply, err := callWatch(ctx, c.opts.Caller, addr, call)
	if err != nil {
		return err
	}
	c.apply(sentAt, call, reply)
	answeredEarly := reply.HeldMS < call.WaitMS
	if !isFresh(reply) && !(starting && answeredEarly && reply.Format >= formatSets) {
		return fmt.Errorf("its state is %d ms old", reply.AgeMS)
	}
	return nil
}

// newCall returns a call that states what this VM holds.
func (c *Client) newCall(now time.Time, wait time.Duration) *watchCall {
	call := &watchCall{
		From: c.opts.Self, Version: c.version(), WaitMS: uint32(wait.Milliseconds()),
		Format: formatSets, Sets: c.store.Versions(now), legacyCall: c.legacy,
		EvacuationVersion: evacuation.VersionOf(c.State().Evacuations),
	}
	if c.needsDocument {
		call.Version = 0
	}
	call.From.Draining = c.draining.Load()
	if c.opts.Report != nil {
		call.Report = c.opts.Report(now, c.State().Quarantined)
	}
	return call
}

func (c *Client) version() uint64 {
	if t := c.State().Table; t != nil {
		return t.Version
	}
	return 0
}
