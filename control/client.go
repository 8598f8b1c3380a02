package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

const (
	// renewTimeout bounds one Renew at one control VM. It is a quarter of the
	// lease term, so that another control VM can be asked within the lease.
	renewTimeout = 750 * time.Millisecond
	// callTimeout bounds one other call at one control VM. It exceeds the
	// longest usual election, so that a forwarded command is not given up on
	// while a leader is being elected.
	callTimeout = 2500 * time.Millisecond
	// retryPause separates two rounds over all control VMs.
	retryPause = 50 * time.Millisecond
)

// ErrNoControl says that no control VM has answered.
var ErrNoControl = errors.New("control: no control VM has answered; check that the control VMs run and that their addresses are right")

// Client calls the control VMs for entry VMs and tools. It is safe for
// concurrent use.
type Client struct {
	caller transport.Caller
	addrs  []string

	mu      sync.Mutex
	nearest int    // index into addrs of the control VM that answered last
	leader  string // address of the last known leader, "" if not known
}

// NewClient makes a client for the control VMs at addrs, nearest first.
func NewClient(caller transport.Caller, addrs []string) *Client {
	return &Client{caller: caller, addrs: addrs}
}

// Propose has c replicated and gives its result. It follows the leader, moves
// on to the next control VM and retries until ctx ends; every command is
// idempotent. After an error the command may still be applied.
func (c *Client) Propose(ctx context.Context, group ids.GroupID, cmd command.Command) (command.Result, error) {
	body, err := wire.Encode(&wire.Propose{Group: group, Command: cmd})
	if err != nil {
		return command.Result{}, err
	}
	last := ErrNoControl
	for {
		addr := c.target()
		reply, err := c.proposeAt(ctx, addr, body)
		if err == nil && reply.Done {
			return reply.Result, nil
		}
		if err != nil {
			last = err
		}
		c.leave(addr)
		if reply.Leader != "" && reply.Leader != addr {
			c.follow(reply.Leader)
		} else {
			pause(ctx, retryPause)
		}
		if ctx.Err() != nil {
			return command.Result{}, errors.Join(ctx.Err(), last)
		}
	}
}

func (c *Client) proposeAt(ctx context.Context, addr string, body []byte) (wire.ProposeReply, error) {
	var reply wire.ProposeReply
	if addr == "" {
		return reply, ErrNoControl
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := c.caller.Call(ctx, addr, transport.MethodPropose, body)
	if err != nil {
		return reply, err
	}
	return reply, wire.Decode(b, &reply)
}

// Renew asks the nearest control VM that can prove that it is current. It
// tries each once and gives the last reply or error.
func (c *Client) Renew(ctx context.Context, r wire.Renew) (wire.RenewReply, error) {
	body, err := wire.Encode(&r)
	if err != nil {
		return wire.RenewReply{}, err
	}
	var reply wire.RenewReply
	last := ErrNoControl
	for range c.addrs {
		addr := c.current()
		reply = wire.RenewReply{}
		last = c.callAt(ctx, addr, transport.MethodRenew, body, renewTimeout, &reply)
		if last == nil && (reply.OK || reply.SessionEnded) {
			return reply, nil
		}
		c.moveOn(addr)
		if ctx.Err() != nil {
			return reply, errors.Join(ctx.Err(), last)
		}
	}
	return reply, last
}

// Call sends one call to the nearest control VM and moves on to the next one
// after an error, each at most once.
func (c *Client) Call(ctx context.Context, m transport.Method, body []byte) ([]byte, error) {
	last := ErrNoControl
	for range c.addrs {
		addr := c.current()
		try, cancel := context.WithTimeout(ctx, callTimeout)
		b, err := c.caller.Call(try, addr, m, body)
		cancel()
		if err == nil {
			return b, nil
		}
		last = err
		c.moveOn(addr)
		if ctx.Err() != nil {
			return nil, errors.Join(ctx.Err(), last)
		}
	}
	return nil, last
}

func (c *Client) callAt(ctx context.Context, addr string, m transport.Method, body []byte, limit time.Duration, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	b, err := c.caller.Call(ctx, addr, m, body)
	if err != nil {
		return err
	}
	return wire.Decode(b, reply)
}

// target gives the leader, if this client was sent to it, else the nearest
// control VM.
func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" || len(c.addrs) == 0 {
		return c.leader
	}
	return c.addrs[c.nearest]
}

func (c *Client) follow(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

// leave forgets a control VM that could not have a command replicated.
func (c *Client) leave(addr string) {
	c.mu.Lock()
	if c.leader == addr {
		c.leader = ""
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.moveOn(addr)
}

func (c *Client) current() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[c.nearest]
}

// moveOn leaves addr, unless another goroutine has left it already.
func (c *Client) moveOn(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) > 0 && c.addrs[c.nearest] == addr {
		c.nearest = (c.nearest + 1) % len(c.addrs)
	}
}

// pause waits for d and says whether ctx is still valid.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
