package directory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

const (
	longPollWait = time.Second
	watchTimeout = 1800 * time.Millisecond
	// retryInterval is the pause before control VMs are tried again after a
	// failure.
	retryInterval = 100 * time.Millisecond
	// minStartInterval is the first pause of a VM that has no document yet. It
	// retries faster because callers wait for it; the pause doubles with each
	// failed round up to retryInterval.
	minStartInterval = 25 * time.Millisecond
	// maxStaleness is the maximum age of a control VM's state; beyond it the
	// client switches to another control VM. A control VM reports to the leader
	// several times within it.
	maxStaleness = 2 * time.Second
	// reselectInterval is the time between two searches for a nearer control VM.
	reselectInterval = 20 * time.Second
	selectTimeout    = 700 * time.Millisecond
	// startSelectTimeout replaces selectTimeout while the VM has no document:
	// after a power loss, control VMs that are still starting do not answer.
	startSelectTimeout = 300 * time.Millisecond
	// maxProbed is the maximum number of control VMs that one selection probes.
	maxProbed = 7
)

// State is the directory's content as known to an entry VM. It is immutable.
type State struct {
	// Table is the catalog in force, nil before the first.
	Table *catalog.Table
	// List is the newest list of runners, nil before the first.
	List    *RunnerList
	Entries []EntryVM
	// LastContactAt is when a control VM in contact with the leader last
	// answered.
	LastContactAt time.Time
}

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
	// Changed is called on the client's goroutine after each new State.
	Changed func(*State)
}

// Client keeps an entry VM's State up to date. The methods State and
// MarkDraining are safe for concurrent use.
type Client struct {
	opts     ClientOptions
	state    atomic.Pointer[State]
	draining atomic.Bool

	// The fields below belong to Run's goroutine.
	controlAddrs []string
	current      string
	selectedAt   time.Time
	// startInterval is the pause before the next round while there is no document.
	startInterval time.Duration
	// rosterTag identifies the list of entry VMs in the state.
	rosterTag uint64
}

// NewClient returns a client. Call Run to start it.
func NewClient(o ClientOptions) *Client {
	c := &Client{opts: o}
	c.state.Store(&State{})
	return c
}

// State returns the newest state. It is never nil.
func (c *Client) State() *State { return c.state.Load() }

// MarkDraining announces to other VMs that this VM is stopping.
func (c *Client) MarkDraining() { c.draining.Store(true) }

// Run watches control VMs until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.current == "" || time.Since(c.selectedAt) > reselectInterval {
			c.selectControl(ctx)
		}
		addr := c.current
		if addr == "" {
			sleep(ctx, c.nextRetryInterval())
			continue
		}
		reply, err := c.watch(ctx, addr, longPollWait)
		if err == nil {
			c.apply(reply)
			if isFresh(reply) {
				continue
			}
			err = fmt.Errorf("its state is %d ms old", reply.AgeMS)
		}
		if ctx.Err() == nil {
			c.abandonControl(ctx, addr, err)
		}
	}
}

// probeResult is the result of probing a control VM. The reply is nil if the call
// failed.
type probeResult struct {
	addr  string
	reply *watchReply
}

// selectControl probes several control VMs concurrently and selects the first
// that answers with fresh state, which is the nearest usable one. If none is
// fresh, it selects one that answered at all.
func (c *Client) selectControl(ctx context.Context) {
	addrs := c.candidateAddrs()
	answers := make(chan probeResult, len(addrs))
	timeout := selectTimeout
	if c.State().Table == nil {
		timeout = startSelectTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, addr := range addrs {
		go func() {
			reply, err := c.watch(ctx, addr, 0)
			if err != nil {
				reply = nil
			}
			answers <- probeResult{addr: addr, reply: reply}
		}()
	}
	before := c.current
	c.current, c.selectedAt = "", time.Now()
	var answer *watchReply
	for range addrs {
		a := <-answers
		if a.reply == nil {
			continue
		}
		c.current, answer = a.addr, a.reply
		if isFresh(a.reply) {
			break
		}
	}
	if c.State().Table == nil && answer != nil {
		// Use the reply at once; it holds the document or at least the lists.
		c.apply(answer)
		if !isFresh(answer) {
			c.current = ""
			return
		}
		c.startInterval = 0
	}
	if c.current != before {
		c.opts.Logger.Info().Str("control", c.current).Str("before", before).Int("asked", len(addrs)).Msg("directory: control VM chosen")
	}
}

// nextRetryInterval returns the pause before the next round.
func (c *Client) nextRetryInterval() time.Duration {
	if c.State().Table != nil {
		return retryInterval
	}
	c.startInterval = min(max(2*c.startInterval, minStartInterval), retryInterval)
	return c.startInterval
}

// isFresh reports whether the replying control VM was in contact with the leader
// within maxStaleness.
func isFresh(r *watchReply) bool { return r.AgeMS >= 0 && r.AgeMS < maxStaleness.Milliseconds() }

// candidateAddrs returns the addresses of up to maxProbed control VMs in random
// order.
func (c *Client) candidateAddrs() []string {
	list := slices.Clone(c.opts.Seeds())
	for _, addr := range c.controlAddrs {
		if !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxProbed)]
}

// abandonControl makes Run select another control VM.
func (c *Client) abandonControl(ctx context.Context, addr string, err error) {
	c.opts.Logger.Warn().Err(err).Str("control", addr).Uint64("version", c.version()).Msg("directory: leaving the control VM")
	c.current = ""
	sleep(ctx, retryInterval)
}

func (c *Client) version() uint64 {
	if t := c.State().Table; t != nil {
		return t.Version
	}
	return 0
}

func (c *Client) watch(ctx context.Context, addr string, wait time.Duration) (*watchReply, error) {
	s := c.State()
	call := &watchCall{From: c.opts.Self, Version: c.version(), WaitMS: uint32(wait.Milliseconds()), RosterTag: c.rosterTag}
	call.From.Draining = c.draining.Load()
	if s.List != nil {
		call.ListSource, call.ListSeq = s.List.Source, s.List.Seq
	}
	body, err := wire.Encode(call)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	b, err := c.opts.Caller.Call(ctx, addr, transport.MethodWatch, body)
	if err != nil {
		return nil, err
	}
	reply := &watchReply{}
	return reply, wire.Decode(b, reply)
}

// apply stores a new state with the content of a reply. The version of the
// document never decreases.
func (c *Client) apply(reply *watchReply) {
	old := c.State()
	next := *old
	if reply.AgeMS >= 0 {
		next.LastContactAt = time.Now()
	}
	if reply.RosterTag != c.rosterTag {
		next.Entries, c.rosterTag = reply.Entries, reply.RosterTag
	}
	if len(reply.Controls) > 0 {
		c.controlAddrs = reply.Controls
	}
	// The first document must come from a control VM in contact with a leader: a
	// stale document would restore routes and keys that have been replaced.
	usable := old.Table != nil || isFresh(reply)
	if d := reply.Document; d != nil && usable && d.Version > c.version() {
		decoded, err := c.opts.Decode(d.Body)
		if err != nil {
			c.opts.Logger.Error().Err(err).Uint64("version", d.Version).Msg("directory: document cannot be decoded; the release of this VM may be too old")
		} else {
			next.Table = catalog.NewTable(decoded)
			c.opts.Logger.Info().Uint64("version", d.Version).Uint64("before", c.version()).Str("control", c.current).Int64("age_ms", reply.AgeMS).Msg("directory: document in force")
		}
	}
	if reply.List != nil {
		if old.List != nil {
			logListChanges(c.opts.Logger, old.List.Runners, reply.List.Runners)
		}
		next.List = reply.List
	}
	c.state.Store(&next)
	c.opts.Changed(&next)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
