package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// connectTimeout is over the round trip between regions and under the time
	// after which a lost opening packet is sent again.
	connectTimeout = 400 * time.Millisecond
	// maxIdlePerAddr bounds the kept connections to one address.
	maxIdlePerAddr = 32
	// sweepEvery is the time between two searches for expired connections.
	sweepEvery = 5 * time.Second
	// maxForeign bounds the responses of others that are read for one request.
	maxForeign = 4
)

// Pool keeps connections to any number of addresses. It is safe for concurrent
// use.
type Pool struct {
	dialer net.Dialer

	// Opened counts new connections, Reused requests on kept ones.
	Opened atomic.Uint64
	Reused atomic.Uint64

	mu    sync.Mutex
	idle  map[string][]*conn
	swept time.Time
}

// NewPool makes a pool.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive, Control: boundUnacknowledged},
		idle:   map[string][]*conn{},
	}
}

// Do sends r to addr and gives the head of the response. The body must be read
// and closed; the end of ctx breaks it off. An error is an *Error.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*http.Response, error) {
	encoded, err := r.encode()
	if err != nil {
		return nil, &Error{Addr: addr, Err: err}
	}
	c := p.take(addr, r.Fresh)
	if c == nil {
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, &Error{Addr: addr, Err: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	e := &exchange{pool: p, conn: c, stop: stop, before: c.got, maxIdle: r.MaxIdle}
	if ctx.Err() != nil {
		e.abandon()
		return nil, &Error{Addr: addr, Err: ctx.Err()}
	}
	resp, err := e.run(r, encoded)
	if err != nil {
		answered := c.got > e.before
		e.abandon()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Addr: addr, Sent: true, Answered: answered, Err: err}
	}
	return resp, nil
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.Opened.Add(1)
	c := &conn{Conn: raw, addr: addr}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// take gives a kept connection that looks usable, nil if there is none.
func (p *Pool) take(addr string, fresh bool) *conn {
	if fresh {
		return nil
	}
	now := time.Now()
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.isQuiet() {
			p.Reused.Add(1)
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn, most int) {
	now := time.Now()
	if most == 0 {
		most = maxIdlePerAddr
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= most {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for addr, list := range p.idle {
		kept := list[:0]
		for _, other := range list {
			if now.Before(other.expires) {
				kept = append(kept, other)
			} else {
				_ = other.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}
