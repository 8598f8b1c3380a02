package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/problem"
)

const (
	// attemptTimeout bounds a single attempt, so that an unresponsive control VM
	// does not delay the attempts at the others.
	attemptTimeout = 5 * time.Second
	// roundPause is the delay between two rounds of attempts, each over all
	// control VMs.
	roundPause = 500 * time.Millisecond
	// maxRounds limits the rounds of one call, regardless of its deadline.
	maxRounds = 600
	// maxReplyBytes limits the size of a reply body.
	maxReplyBytes = 64 << 20
)

// Client calls the operators' API on any of several control VMs. If a reply is
// lost, it retries with the same body on the next control VM until the context
// ends. Retries are safe because every call is idempotent; a change is
// deduplicated by its id. Client is safe for concurrent use.
type Client struct {
	// Addrs lists the control VMs' base URLs, nearest first.
	Addrs []string
	Token string
	HTTP  *http.Client
	// Pause waits for d between rounds or until ctx ends. If it is nil, a timer
	// is used.
	Pause func(ctx context.Context, d time.Duration) error
}

// request is an API call that is not yet bound to a control VM.
type request struct {
	method      string
	path        string
	query       url.Values
	contentType string
	body        []byte
}

// do sends the request, with retries, and decodes the reply into out. The error
// is a *problem.Problem, or it reports that no control VM answered.
func (c *Client) do(ctx context.Context, req request, out any) error {
	if len(c.Addrs) == 0 {
		return errors.New("no control VM is known; give -control or set DAMASK_CONTROL")
	}
	var failed failures
	for range maxRounds {
		for _, addr := range c.Addrs {
			err := c.attempt(ctx, addr, req, out)
			if err == nil || !retryable(err) {
				return err
			}
			failed.add(addr, err)
			if ctx.Err() != nil {
				return failed.callError(req.method)
			}
		}
		if err := c.pause(ctx); err != nil {
			return failed.callError(req.method)
		}
	}
	return failed.callError(req.method)
}

// retryable reports whether another control VM may succeed after an attempt
// failed with err.
func retryable(err error) bool {
	p, ok := problem.As(err)
	return !ok || p.Reason == problem.ControlUnavailable
}

// pause waits for roundPause or until ctx ends.
func (c *Client) pause(ctx context.Context) error {
	if c.Pause != nil {
		return c.Pause(ctx, roundPause)
	}
	if !timer.Sleep(ctx, roundPause) {
		return ctx.Err()
	}
	return nil
}

// attempt sends the request once, to the control VM at addr.
func (c *Client) attempt(ctx context.Context, addr string, req request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeoutFor(ctx, req.path))
	defer cancel()
	target := strings.TrimSuffix(addr, "/") + req.path
	if len(req.query) > 0 {
		target += "?" + req.query.Encode()
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, target, bytes.NewReader(req.body))
	if err != nil {
		return invalidAddress(addr, err)
	}
	httpReq.Header.Set("Authorization", "Bearer "+c.Token)
	if req.contentType != "" {
		httpReq.Header.Set("Content-Type", req.contentType)
	}
	resp, err := c.HTTP.Do(httpReq)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	return decodeReply(resp, body, out)
}

// auditPathPrefix is the path prefix of all audit log queries.
const auditPathPrefix = "/v1/audit"

// timeoutFor returns the timeout of one attempt. An audit log query may scan many
// sessions or a whole log and take longer than attemptTimeout. It gets an equal
// share of the remaining time, so that one unresponsive control VM does not use
// up all of it.
func (c *Client) timeoutFor(ctx context.Context, path string) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok || !strings.HasPrefix(path, auditPathPrefix) {
		return attemptTimeout
	}
	return max(attemptTimeout, time.Until(deadline)/time.Duration(len(c.Addrs)))
}

// invalidAddress returns the problem for a control address that cannot be used.
// It is final, so the call is not retried on another control VM.
func invalidAddress(addr string, err error) error {
	p := problem.New(problem.BadRequest, problem.NotRun, "control address %q: %v", addr, err)
	p.Remedy = "Give addresses such as https://10.0.0.1:8443."
	return p
}

// decodeReply decodes the body of a successful response into out. For any other
// status it returns the *problem.Problem in the body, or another error if the
// body holds none.
func decodeReply(resp *http.Response, body []byte, out any) error {
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, out); err != nil {
			return fmt.Errorf("decode reply: %w", err)
		}
		return nil
	}
	var p problem.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Reason == "" {
		return fmt.Errorf("unexpected response with status %s; check that the address is that of a control VM", resp.Status)
	}
	return &p
}

// CurrentVersion returns the current settings version.
func (c *Client) CurrentVersion(ctx context.Context) (admin.VersionReply, error) {
	var v admin.VersionReply
	err := c.do(ctx, request{method: http.MethodGet, path: "/v1/version"}, &v)
	return v, err
}

// ApplyDocument applies a document to the settings version base. A repeated call
// with the same id, base and document returns the first result.
func (c *Client) ApplyDocument(ctx context.Context, id string, base uint64, file string, doc []byte) (admin.ChangeReply, error) {
	var reply admin.ChangeReply
	q := url.Values{"id": {id}, "base": {fmt.Sprint(base)}, "file": {file}}
	err := c.do(ctx, request{http.MethodPost, "/v1/changes", q, "application/yaml", doc}, &reply)
	return reply, err
}

// Diff returns the operations that applying a document would perform.
func (c *Client) Diff(ctx context.Context, file string, doc []byte) (admin.DiffReply, error) {
	var reply admin.DiffReply
	q := url.Values{"file": {file}}
	err := c.do(ctx, request{http.MethodPost, "/v1/diff", q, "application/yaml", doc}, &reply)
	return reply, err
}

// longPollWait is how long the server may hold one request of WaitInEffect. It is below
// attemptTimeout, so that a held request is not taken for a lost reply.
const longPollWait = 2 * time.Second

// WaitInEffect blocks until a version is in effect on every entry VM or ctx ends.
func (c *Client) WaitInEffect(ctx context.Context, version uint64) (admin.InEffectReply, error) {
	q := url.Values{"version": {fmt.Sprint(version)}, "wait_ms": {fmt.Sprint(longPollWait.Milliseconds())}}
	var reply admin.InEffectReply
	for {
		err := c.do(ctx, request{method: http.MethodGet, path: "/v1/in-effect", query: q}, &reply)
		if err != nil || reply.Done {
			return reply, err
		}
		if ctx.Err() != nil {
			return reply, fmt.Errorf("version %d is not in effect yet, version %d is; see 'damaskctl status' for the entry VMs that lag", version, reply.InEffect)
		}
	}
}

// get sends a GET request and decodes the reply into out.
func (c *Client) get(ctx context.Context, path string, q url.Values, out any) error {
	return c.do(ctx, request{method: http.MethodGet, path: path, query: q}, out)
}
