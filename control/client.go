package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

const (
	// renewTimeout bounds one Renew call to one control VM. It is a quarter of
	// the lease term, so that another control VM can be asked within the lease.
	renewTimeout = 750 * time.Millisecond
	// callTimeout bounds any other call to one control VM. It exceeds the
	// longest usual election, so that the client does not give up on a
	// forwarded command while a leader is being elected.
	callTimeout = 2500 * time.Millisecond
	// retryDelay separates two attempts after every control VM has failed or no
	// leader is known.
	retryDelay = 50 * time.Millisecond
)

// ErrNoControlVM is returned if no control VM has answered.
var ErrNoControlVM = errors.New("control: no control VM has answered; check that the control VMs are running and that their addresses are correct")

// Client calls the control VMs on behalf of entry VMs and tools. It is safe for
// concurrent use.
type Client struct {
	caller transport.Caller
	addrs  []string

	mu        sync.Mutex
	preferred int    // index into addrs of the control VM to call first
	leader    string // address of the last known leader, or ""
}

// NewClient returns a client for the control VMs at addrs, nearest first.
func NewClient(caller transport.Caller, addrs []string) *Client {
	return &Client{caller: caller, addrs: addrs}
}

// Propose replicates cmd and returns its result. It follows redirects to the
// leader, tries the other control VMs in turn and retries until ctx ends, which
// is safe because every command is idempotent. After an error the command may
// still be applied.
func (c *Client) Propose(ctx context.Context, group ids.GroupID, cmd command.Command) (command.Result, error) {
	body, err := wire.Encode(&wire.Propose{Group: group, Command: cmd})
	if err != nil {
		return command.Result{}, err
	}
	lastErr := ErrNoControlVM
	for {
		addr := c.proposalTarget()
		reply, err := c.proposeAt(ctx, addr, body)
		if err == nil && reply.Done {
			return reply.Result, nil
		}
		if err != nil {
			lastErr = err
		}
		c.deselect(addr)
		if reply.Leader != "" && reply.Leader != addr {
			c.setLeader(reply.Leader)
		} else {
			timer.Sleep(ctx, retryDelay)
		}
		if ctx.Err() != nil {
			return command.Result{}, errors.Join(ctx.Err(), lastErr)
		}
	}
}

func (c *Client) proposeAt(ctx context.Context, addr string, body []byte) (wire.ProposeReply, error) {
	var reply wire.ProposeReply
	if addr == "" {
		return reply, ErrNoControlVM
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := c.caller.Call(ctx, addr, transport.MethodPropose, body)
	if err != nil {
		return reply, err
	}
	return reply, wire.Decode(b, &reply)
}

// Renew calls the preferred control VM and tries each of the others once until
// one with a recent leader confirmation grants the renewal. It returns the last
// reply or error.
func (c *Client) Renew(ctx context.Context, r wire.Renew) (wire.RenewReply, error) {
	body, err := wire.Encode(&r)
	if err != nil {
		return wire.RenewReply{}, err
	}
	var reply wire.RenewReply
	lastErr := ErrNoControlVM
	for range c.addrs {
		addr := c.preferredAddr()
		reply = wire.RenewReply{}
		lastErr = c.callAt(ctx, addr, transport.MethodRenew, body, renewTimeout, &reply)
		if lastErr == nil && (reply.OK || reply.SessionEnded) {
			return reply, nil
		}
		c.selectNext(addr)
		if ctx.Err() != nil {
			return reply, errors.Join(ctx.Err(), lastErr)
		}
	}
	return reply, lastErr
}

// Call calls the preferred control VM and, after an error, each of the others
// at most once.
func (c *Client) Call(ctx context.Context, m transport.Method, body []byte) ([]byte, error) {
	lastErr := ErrNoControlVM
	for range c.addrs {
		addr := c.preferredAddr()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		b, err := c.caller.Call(callCtx, addr, m, body)
		cancel()
		if err == nil {
			return b, nil
		}
		lastErr = err
		c.selectNext(addr)
		if ctx.Err() != nil {
			return nil, errors.Join(ctx.Err(), lastErr)
		}
	}
	return nil, lastErr
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

// proposalTarget returns the address of the known leader or else of the
// preferred control VM.
func (c *Client) proposalTarget() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" || len(c.addrs) == 0 {
		return c.leader
	}
	return c.addrs[c.preferred]
}

func (c *Client) setLeader(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

// deselect stops using a control VM that could not replicate a command.
func (c *Client) deselect(addr string) {
	c.mu.Lock()
	if c.leader == addr {
		c.leader = ""
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.selectNext(addr)
}

func (c *Client) preferredAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[c.preferred]
}

// selectNext makes the next control VM the preferred one, unless another
// goroutine has already moved on from addr.
func (c *Client) selectNext(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) > 0 && c.addrs[c.preferred] == addr {
		c.preferred = (c.preferred + 1) % len(c.addrs)
	}
}
