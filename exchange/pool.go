package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/buffers"
)

const (
	// connectTimeout is longer than the round trip between regions and shorter
	// than the time after which a lost SYN packet is retransmitted.
	connectTimeout = 400 * time.Millisecond
	// maxIdlePerAddr is the default maximum of idle connections to one address.
	maxIdlePerAddr = 32
	// sweepInterval is the minimum time between two searches for expired
	// connections.
	sweepInterval = 5 * time.Second
	// maxResponsesRead is the maximum number of responses read for one request,
	// including interim responses and those to other requests.
	maxResponsesRead = 4
)

// Pool keeps idle connections to any number of addresses. It is safe for
// concurrent use.
type Pool struct {
	dialer net.Dialer
	memory *buffers.Memory

	// Opened counts the connections opened, Reused the requests sent on idle
	// connections.
	Opened atomic.Uint64
	Reused atomic.Uint64

	mu        sync.Mutex
	idle      map[string][]*conn
	lastSweep time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool { return NewCountedPool(nil) }

// NewCountedPool returns an empty pool that counts the heads which it reads in memory.
func NewCountedPool(memory *buffers.Memory) *Pool {
	return &Pool{
		memory: memory,
		dialer: net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAliveConfig, Control: setUnackedTimeout},
		idle:   map[string][]*conn{},
	}
}

// Do sends r to addr and returns the response once its header is received. The
// caller must read and close the body. The end of ctx aborts the exchange, also
// while the body is read. Errors returned by Do are of type *Error.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*http.Response, error) {
	writing := false
	defer func() {
		if !writing {
			r.notifyBodyRead()
		}
	}()
	head, err := r.encodeHead()
	if err != nil {
		return nil, &Error{Addr: addr, Err: err}
	}
	c := p.takeIdle(addr, r.NewConn)
	if c == nil {
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, &Error{Addr: addr, Err: err}
		}
	}
	e := &exchange{pool: p, conn: c, maxIdle: r.MaxIdle, notifyStep: r.stepNotifier(), ctx: ctx, bytesReadBefore: c.bytesRead}
	e.stopContextWatch = context.AfterFunc(ctx, e.closeConn)
	if ctx.Err() != nil {
		e.abandon()
		return nil, &Error{Addr: addr, Err: ctx.Err()}
	}
	writing = true
	if r.OnConnection != nil {
		r.OnConnection(c.openedAt)
	}
	if c.reused {
		e.notifyStep(StepKeptConn)
	} else {
		e.notifyStep(StepNewConn)
	}
	resp, err := e.roundTrip(r, head)
	if err != nil {
		responseStarted := c.bytesRead > e.bytesReadBefore
		e.abandon()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Addr: addr, Sent: true, ResponseStarted: responseStarted, Err: err}
	}
	return resp, nil
}

// Connect opens a connection to addr, which shows that something listens there, and
// closes it. It returns when the opening began. Errors are of type *Error.
func (p *Pool) Connect(ctx context.Context, addr string) (openedAt time.Time, err error) {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return time.Time{}, &Error{Addr: addr, Err: err}
	}
	_ = c.Close()
	return c.openedAt, nil
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	openedAt := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.Opened.Add(1)
	c := &conn{Conn: raw, addr: addr, openedAt: openedAt}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// takeIdle returns an idle connection that seems usable, or nil if there is none
// or the request needs a new one.
func (p *Pool) takeIdle(addr string, forceNew bool) *conn {
	if forceNew {
		return nil
	}
	now := time.Now()
	for {
		c := p.popIdle(addr)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.isIdle() {
			p.Reused.Add(1)
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) popIdle(addr string) *conn {
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

func (p *Pool) putIdle(c *conn, maxIdle int) {
	now := time.Now()
	if maxIdle == 0 {
		maxIdle = maxIdlePerAddr
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
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
