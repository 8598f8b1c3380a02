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
	watchWait    = time.Second
	watchTimeout = 1800 * time.Millisecond
	// retryPause separates two rounds over control VMs that do not answer.
	retryPause = 100 * time.Millisecond
	// A VM that knows no document yet asks more often, because callers wait for
	// it; the pause doubles with each round in vain up to retryPause.
	leastStartPause = 25 * time.Millisecond
	// maxAge is how old a control VM's knowledge may be before another one is
	// asked. Its report to the leader is due several times within it.
	maxAge = 2 * time.Second
	// chooseEvery is how often a nearer control VM is looked for.
	chooseEvery   = 20 * time.Second
	chooseTimeout = 700 * time.Millisecond
	// chooseStartTimeout is that of a VM that knows no document: after a loss of
	// power, control VMs that are not back yet give no answer at all.
	chooseStartTimeout = 300 * time.Millisecond
	// maxAsked bounds how many control VMs are asked who is nearest.
	maxAsked = 7
)

// State is what an entry VM knows. It is immutable.
type State struct {
	// Table is the catalog in force, nil before the first.
	Table *catalog.Table
	// List is the newest list of runners, nil before the first.
	List    *RunnerList
	Entries []EntryVM
	// HeardAt is when a control VM that was in touch with the leader answered.
	HeardAt time.Time
}

// Decode reads the body of a document.
type Decode func(body []byte) (*catalog.Catalog, error)

// ClientOptions configure a Client.
type ClientOptions struct {
	Self EntryVM
	// Seeds gives the addresses of some control VMs.
	Seeds  func() []string
	Caller transport.Caller
	Decode Decode
	Logger *log.Logger
	// Changed is called on the client's goroutine after each new State.
	Changed func(*State)
}

// Client keeps an entry VM's State. State is safe for concurrent use.
type Client struct {
	opts     ClientOptions
	state    atomic.Pointer[State]
	draining atomic.Bool

	// The fields below belong to Run's goroutine.
	controls []string
	current  string
	chosenAt time.Time
	// startPause is the pause before the next round of a VM that knows nothing.
	startPause time.Duration
	// rosterTag names the list of entry VMs that the state holds.
	rosterTag uint64
}

// NewClient makes a client; Run starts it.
func NewClient(o ClientOptions) *Client {
	c := &Client{opts: o}
	c.state.Store(&State{})
	return c
}

// State gives the newest state; it is never nil.
func (c *Client) State() *State { return c.state.Load() }

// Drain tells the others that this VM is stopping.
func (c *Client) Drain() { c.draining.Store(true) }

// Run watches control VMs until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.current == "" || time.Since(c.chosenAt) > chooseEvery {
			c.choose(ctx)
		}
		addr := c.current
		if addr == "" {
			sleep(ctx, c.nextPause())
			continue
		}
		reply, err := c.watch(ctx, addr, watchWait)
		if err == nil {
			c.take(reply)
			if inTouch(reply) {
				continue
			}
			err = fmt.Errorf("its knowledge is %d ms old", reply.AgeMS)
		}
		if ctx.Err() == nil {
			c.leave(ctx, addr, err)
		}
	}
}

// candidate is a control VM's answer to the question who is nearest.
type candidate struct {
	addr  string
	reply *watchReply
}

// choose asks several control VMs at once and keeps the first that is in touch
// with the leader: the nearest one that is of use. Without any, it keeps the
// one that knows something.
func (c *Client) choose(ctx context.Context) {
	addrs := c.known()
	answers := make(chan candidate, len(addrs))
	timeout := chooseTimeout
	if c.State().Table == nil {
		timeout = chooseStartTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, addr := range addrs {
		go func() {
			reply, err := c.watch(ctx, addr, 0)
			if err != nil {
				reply = nil
			}
			answers <- candidate{addr: addr, reply: reply}
		}()
	}
	before := c.current
	c.current, c.chosenAt = "", time.Now()
	var answer *watchReply
	for range addrs {
		a := <-answers
		if a.reply == nil {
			continue
		}
		c.current, answer = a.addr, a.reply
		if inTouch(a.reply) {
			break
		}
	}
	if c.State().Table == nil && answer != nil {
		// The answer is of use at once: the document, or the list alone.
		c.take(answer)
		if !inTouch(answer) {
			c.current = ""
			return
		}
		c.startPause = 0
	}
	if c.current != before {
		c.opts.Logger.Info().Str("control", c.current).Str("before", before).Int("asked", len(addrs)).Msg("directory: control VM chosen")
	}
}

// nextPause gives the pause before the next round.
func (c *Client) nextPause() time.Duration {
	if c.State().Table != nil {
		return retryPause
	}
	c.startPause = min(max(2*c.startPause, leastStartPause), retryPause)
	return c.startPause
}

func inTouch(r *watchReply) bool { return r.AgeMS >= 0 && r.AgeMS < maxAge.Milliseconds() }

// known lists some of the control VMs, others each time if there are many.
func (c *Client) known() []string {
	list := slices.Clone(c.opts.Seeds())
	for _, addr := range c.controls {
		if !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxAsked)]
}

// leave moves on to another control VM.
func (c *Client) leave(ctx context.Context, addr string, err error) {
	c.opts.Logger.Warn().Err(err).Str("control", addr).Uint64("version", c.version()).Msg("directory: leaving the control VM")
	c.current = ""
	sleep(ctx, retryPause)
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

// take makes a new state of a reply. A version never goes back.
func (c *Client) take(reply *watchReply) {
	old := c.State()
	next := *old
	if reply.AgeMS >= 0 {
		next.HeardAt = time.Now()
	}
	if reply.RosterTag != c.rosterTag {
		next.Entries, c.rosterTag = reply.Entries, reply.RosterTag
	}
	if len(reply.Controls) > 0 {
		c.controls = reply.Controls
	}
	// After a start, an old document would bring back what was replaced
	// meanwhile; only a control VM in touch with a leader rules that out.
	known := old.Table != nil || inTouch(reply)
	if d := reply.Document; d != nil && known && d.Version > c.version() {
		decoded, err := c.opts.Decode(d.Body)
		if err != nil {
			c.opts.Logger.Error().Err(err).Uint64("version", d.Version).Msg("directory: document not readable; the release of this VM may be too old")
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
