package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	opts Options
	// progress is Options.ProgressTimeout in nanoseconds, as tuned.
	progress atomic.Int64

	mu      sync.Mutex
	runners map[route]*http.Transport
}

// route names the kept connections to one runner.
type route struct {
	addr string
	// patient connections have no progress timeout.
	patient bool
}

// NewClient makes a client.
func NewClient(o Options) *Client {
	c := &Client{opts: o.withDefaults(), runners: make(map[route]*http.Transport)}
	c.progress.Store(int64(c.opts.ProgressTimeout))
	return c
}

// TuneProgress sets the progress timeout of connections that are opened from
// then on.
func (c *Client) TuneProgress(d time.Duration) { c.progress.Store(int64(d)) }

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.runners {
		t.CloseIdleConnections()
	}
}

// Forget drops the connections to a runner that has left.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range []route{{addr, false}, {addr, true}} {
		if t := c.runners[r]; t != nil {
			t.CloseIdleConnections()
			delete(c.runners, r)
		}
	}
}

// shared gives the transport that keeps connections to a runner.
func (c *Client) shared(r route) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.runners[r]
	if !ok {
		t = c.newTransport(nil, r.patient)
		c.runners[r] = t
	}
	return t
}

func (c *Client) newTransport(g Guard, patient bool) *http.Transport {
	return &http.Transport{
		DialContext:         c.dialer(g, patient),
		MaxIdleConnsPerHost: c.opts.MaxIdle,
		IdleConnTimeout:     c.opts.ProgressTimeout,
		DisableCompression:  true,
	}
}

func (c *Client) dialer(g Guard, patient bool) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: c.opts.DialTimeout, KeepAliveConfig: keepAlive, Control: limitUnacknowledged}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if patient {
			return &progressConn{Conn: conn, guard: g}, nil
		}
		return &progressConn{Conn: conn, guard: g, timeout: time.Duration(c.progress.Load())}, nil
	}
}

// call is one HTTP call to a runner.
type call struct {
	method  string
	addr    string
	path    string
	header  http.Header
	body    []byte
	attempt string
	// fresh asks for a new connection.
	fresh bool
	// patient asks for a connection without a progress timeout.
	patient bool
	// guard asks for a new connection and is checked before its first byte.
	// Giving up a guarded call early would only turn an answer into an unknown
	// end, so its connection is patient.
	guard Guard
}

func (k *call) route() route { return route{addr: k.addr, patient: k.patient} }

// open sends the call and waits for the response headers. The caller closes
// the response body. The attempt header of a 200 response has been checked.
func (c *Client) open(ctx context.Context, k call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+k.addr+k.path, bytes.NewReader(k.body))
	if err != nil {
		return nil, &Error{Cause: NotSent, Address: k.addr, Err: err}
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	if k.attempt != "" {
		req.Header.Set(HeaderAttempt, k.attempt)
	}
	sent := &sentTrace{}
	req = req.WithContext(sent.with(req.Context()))
	t := c.transportFor(k)
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, c.failed(ctx, k.addr, err, sent.written(), t)
	}
	if err := checkResponse(k, resp); err != nil {
		drop(resp)
		return nil, err
	}
	return resp, nil
}

// transportFor gives a transport of its own to a guarded call and to one that
// follows another attempt, so that they go over new connections that nothing in
// between can have lost track of.
func (c *Client) transportFor(k call) *http.Transport {
	if k.guard == nil && !k.fresh {
		return c.shared(k.route())
	}
	t := c.newTransport(k.guard, k.patient || k.guard != nil)
	t.DisableKeepAlives = true
	return t
}

// failed classifies a transport error.
func (c *Client) failed(ctx context.Context, addr string, err error, written bool, t *http.Transport) error {
	var g *errGuard
	switch {
	case errors.As(err, &g):
		return &Error{Cause: GuardFailed, Address: addr, Err: g.err}
	case !written && ctx.Err() != nil:
		return &Error{Cause: Unsent, Address: addr, Err: ctx.Err()}
	case !written:
		return &Error{Cause: NotSent, Address: addr, Err: err}
	case ctx.Err() != nil:
		// The call was given up without an answer, as a hedge that lost. The
		// kept connections to the runner may be silent as well.
		t.CloseIdleConnections()
		return &Error{Cause: Cancelled, Address: addr, Err: ctx.Err()}
	case errors.Is(err, errSilent):
		// Other idle connections may have been lost with this one. They are
		// closed; the upstream itself is not blamed.
		t.CloseIdleConnections()
		return &Error{Cause: Silent, Address: addr, Err: err}
	default:
		return &Error{Cause: Broken, Address: addr, Err: err}
	}
}

// checkResponse turns refusals, error statuses and foreign responses into
// errors. A plain service's own error statuses are responses, not failures;
// its caller allows them with an empty attempt check in call.go.
func checkResponse(k call, resp *http.Response) error {
	h := resp.Header
	notExecuted := h.Get(HeaderNotExecuted) == "true"
	switch {
	case h.Get(HeaderDraining) == "true" && notExecuted:
		return &Error{Cause: Draining, Address: k.addr, Status: resp.StatusCode}
	case notExecuted:
		return &Error{Cause: Overloaded, Address: k.addr, Status: resp.StatusCode}
	}
	if k.attempt != "" && h.Get(HeaderAttempt) != k.attempt {
		err := errors.New("response carries attempt " + h.Get(HeaderAttempt) + ", want " + k.attempt)
		return &Error{Cause: Mismatch, Address: k.addr, Status: resp.StatusCode, Err: err}
	}
	return nil
}

// readAll reads a whole body of limited size.
func (c *Client) readAll(ctx context.Context, addr string, resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxResponseBytes+1))
	if err != nil {
		return nil, c.failed(ctx, addr, err, true, c.shared(route{addr: addr}))
	}
	if int64(len(body)) > c.opts.MaxResponseBytes {
		return nil, &Error{Cause: Mismatch, Address: addr, Err: errors.New("response body is too large")}
	}
	return body, nil
}

// drop discards a response whose body is of no use.
func drop(resp *http.Response) {
	const drainBytes = 64 << 10
	_, _ = io.CopyN(io.Discard, resp.Body, drainBytes)
	_ = resp.Body.Close()
}
