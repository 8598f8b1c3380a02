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

	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/execution"
)

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	opts Options
	// memory counts the bodies of responses that are being read.
	memory *buffers.Memory
	// progressTimeoutNS is the current progress timeout in nanoseconds. It starts
	// as Options.ProgressTimeout; SetProgressTimeout changes it.
	progressTimeoutNS atomic.Int64

	mu         sync.Mutex
	transports map[transportKey]*http.Transport
}

// transportKey identifies a transport and its idle connections to one runner.
type transportKey struct {
	addr string
	// noProgressTimeout selects connections without a progress timeout.
	noProgressTimeout bool
}

// NewClient returns a Client with the given options.
func NewClient(o Options) *Client {
	o = o.withDefaults()
	c := &Client{opts: o, memory: buffers.New(o.MaxBufferedBytes), transports: make(map[transportKey]*http.Transport)}
	c.progressTimeoutNS.Store(int64(c.opts.ProgressTimeout))
	return c
}

// SetProgressTimeout sets the progress timeout of connections that are opened
// after the call.
func (c *Client) SetProgressTimeout(d time.Duration) { c.progressTimeoutNS.Store(int64(d)) }

// Close closes all idle connections. Calls in flight continue.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// RemoveRunner closes the idle connections to a runner that has left and
// releases its transports.
func (c *Client) RemoveRunner(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range []transportKey{{addr, false}, {addr, true}} {
		if t := c.transports[key]; t != nil {
			t.CloseIdleConnections()
			delete(c.transports, key)
		}
	}
}

// sharedTransport returns the transport that reuses connections to a runner and
// creates it if necessary.
func (c *Client) sharedTransport(key transportKey) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.transports[key]
	if !ok {
		t = c.newTransport(nil, key.noProgressTimeout)
		c.transports[key] = t
	}
	return t
}

// newTransport returns a transport whose connections call g, if set, before their
// first byte.
func (c *Client) newTransport(g Guard, noProgressTimeout bool) *http.Transport {
	return &http.Transport{
		DialContext:         c.dialFunc(g, noProgressTimeout),
		MaxIdleConnsPerHost: c.opts.MaxIdleConnsPerRunner,
		IdleConnTimeout:     c.opts.ProgressTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

const (
	// maxHeadBytes is the maximum size of the head of a response.
	maxHeadBytes = 16 << 10
	// freeBodyBytes is the part of each body that is not counted.
	freeBodyBytes = 64 << 10
)

// WriteMetrics writes what is kept of responses in the Prometheus text format.
func (c *Client) WriteMetrics(w io.Writer) { c.memory.WriteMetrics(w) }

// dialFunc returns a function that opens connections for newTransport.
func (c *Client) dialFunc(g Guard, noProgressTimeout bool) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: c.opts.DialTimeout, KeepAliveConfig: keepAlive, Control: setUnacknowledgedTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if noProgressTimeout {
			return &progressConn{Conn: conn, guard: g}, nil
		}
		return &progressConn{Conn: conn, guard: g, timeout: time.Duration(c.progressTimeoutNS.Load())}, nil
	}
}

// callSpec describes one HTTP call to a runner.
type callSpec struct {
	method  string
	addr    string
	path    string
	header  http.Header
	body    []byte
	attempt string
	// onWritten, if set, is called when the whole request has been written.
	onWritten func()
	// watch, if set, reports a silent runner. The connection then has no progress
	// timeout.
	watch *silenceWatch
	// newConnection prevents the reuse of an idle connection.
	newConnection bool
	// noProgressTimeout requires a connection without a progress timeout.
	noProgressTimeout bool
	// guard, if set, is called before the first byte is written to a new
	// connection. That connection has no progress timeout, because ending a
	// guarded call early would only replace its response by an unknown outcome.
	guard Guard
}

func (spec *callSpec) transportKey() transportKey {
	return transportKey{addr: spec.addr, noProgressTimeout: spec.noProgressTimeout || spec.watch != nil}
}

// handleWritten is called when the whole request has been written.
func (spec *callSpec) handleWritten() {
	spec.watch.progress()
	if spec.onWritten != nil {
		spec.onWritten()
	}
}

// open sends the call and waits for the response headers, which checkResponse has
// checked if err is nil. The caller checks the status and closes the body.
func (c *Client) open(ctx context.Context, spec callSpec) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, spec.method, "http://"+spec.addr+spec.path, bytes.NewReader(spec.body))
	if err != nil {
		return nil, &Error{Cause: NotSent, Address: spec.addr, Err: err}
	}
	for name, values := range spec.header {
		req.Header[name] = values
	}
	if spec.attempt != "" {
		req.Header.Set(HeaderAttempt, spec.attempt)
	}
	trace := &writeTrace{onWritten: spec.handleWritten}
	req = req.WithContext(trace.attach(req.Context()))
	t := c.transportFor(spec)
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, c.transportError(ctx, spec.addr, err, trace.written(), t)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &unframedBody{ReadCloser: resp.Body, ctx: ctx, trace: trace}
	}
	if err := checkResponse(spec, resp); err != nil {
		discard(resp)
		return nil, err
	}
	return resp, nil
}

// transportFor returns a separate transport for calls that need a new connection:
// guarded calls and those that follow an earlier attempt. A network device on the
// path may have dropped its state of an idle connection, but not of a new one.
func (c *Client) transportFor(spec callSpec) *http.Transport {
	if spec.guard == nil && !spec.newConnection {
		return c.sharedTransport(spec.transportKey())
	}
	t := c.newTransport(spec.guard, spec.transportKey().noProgressTimeout || spec.guard != nil)
	t.DisableKeepAlives = true
	return t
}

// transportError converts an error of the transport t to an *Error. The argument
// written says whether any byte of the request may have been written.
func (c *Client) transportError(ctx context.Context, addr string, err error, written bool, t *http.Transport) error {
	var g *guardError
	switch {
	case errors.As(err, &g):
		return &Error{Cause: GuardFailed, Address: addr, Err: g.err}
	case !written && ctx.Err() != nil:
		return &Error{Cause: CancelledBeforeSend, Address: addr, Err: ctx.Err()}
	case !written:
		return &Error{Cause: NotSent, Address: addr, Err: err}
	case ctx.Err() != nil:
		// The caller cancelled the call before it had a response, for example a
		// hedge that lost. The runner's idle connections may be silent as well.
		t.CloseIdleConnections()
		return &Error{Cause: Cancelled, Address: addr, Err: ctx.Err()}
	case errors.Is(err, errNoProgress):
		// Other idle connections may have been lost with this one and are
		// closed. This says nothing about the health of the upstream.
		t.CloseIdleConnections()
		return &Error{Cause: SilentConnection, Address: addr, Err: err}
	default:
		return &Error{Cause: ConnectionBroken, Address: addr, Err: err}
	}
}

// checkResponse returns an error for a response that refuses the call unexecuted
// and for one that belongs to another attempt. Error statuses are left to the
// caller, because those of a plain service are responses, not failures.
func checkResponse(spec callSpec, resp *http.Response) error {
	h := resp.Header
	if spec.attempt != "" && h.Get(HeaderAttempt) != spec.attempt {
		// Also a refusal counts only if it is the one of this attempt: a late copy of
		// an earlier one says nothing about this one.
		err := errors.New("response carries attempt " + h.Get(HeaderAttempt) + ", want " + spec.attempt)
		return &Error{Cause: ResponseMismatch, Address: spec.addr, Status: resp.StatusCode, Err: err}
	}
	switch execution.Conclude(execution.Response{Status: resp.StatusCode, Declaration: declarationOf(h)}) {
	case execution.Refused:
		return refusal(spec.addr, resp)
	case execution.Contradicted:
		err := errors.New("the response refuses the call, and its status says otherwise")
		return &Error{Cause: ResponseMismatch, Address: spec.addr, Status: resp.StatusCode, Err: err}
	}
	return nil
}

// declarationOf decodes what a response declares about the execution of the call.
func declarationOf(h http.Header) execution.Declaration {
	values := h.Values(HeaderNotExecuted)
	switch {
	case len(values) == 0 || len(values) == 1 && values[0] == "false":
		return execution.Undeclared
	case len(values) == 1 && values[0] == "true":
		return execution.DeclaredNotExecuted
	}
	return execution.DeclaredUnclear
}

// refusal returns the error for a response that refuses the call unexecuted.
func refusal(addr string, resp *http.Response) error {
	cause := Overloaded
	if resp.Header.Get(HeaderDraining) == "true" {
		cause = Draining
	}
	return &Error{Cause: cause, Address: addr, Status: resp.StatusCode}
}

// readAll reads the body of a response, of at most Options.MaxResponseBytes. What is
// read is counted until it is complete.
func (c *Client) readAll(ctx context.Context, spec callSpec, resp *http.Response) ([]byte, error) {
	account := c.memory.NewAccount(buffers.Answer, freeBodyBytes)
	defer account.Close()
	body, err := io.ReadAll(io.LimitReader(account.Reader(watchedReader{resp.Body, spec.watch}), c.opts.MaxResponseBytes+1))
	var full *buffers.FullError
	if errors.As(err, &full) {
		return nil, &Error{Cause: ResponseMismatch, Address: spec.addr, Err: err}
	}
	if err != nil {
		return nil, c.transportError(ctx, spec.addr, err, true, c.sharedTransport(spec.transportKey()))
	}
	if int64(len(body)) > c.opts.MaxResponseBytes {
		return nil, &Error{Cause: ResponseMismatch, Address: spec.addr, Err: errors.New("response body exceeds the limit")}
	}
	return body, nil
}

// discard closes a response whose body is not needed. It reads a short body to
// the end first, so that the connection can be reused.
func discard(resp *http.Response) {
	const drainBytes = 64 << 10
	_, _ = io.CopyN(io.Discard, resp.Body, drainBytes)
	_ = resp.Body.Close()
}
