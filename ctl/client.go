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
	"damaskbridge.example/damaskbridge/problem"
)

const (
	// attemptTimeout bounds one attempt at one control VM, so that one that
	// stopped responding does not hold up the others.
	attemptTimeout = 5 * time.Second
	// roundPause is the time between two rounds over all control VMs.
	roundPause = 500 * time.Millisecond
	// maxRounds bounds the rounds, whatever the deadline.
	maxRounds = 600
	// maxReplyBytes bounds a reply.
	maxReplyBytes = 64 << 20
)

// Client calls the operators' API of any of several control VMs. A call whose
// reply is lost is sent again, with the same body, to the next control VM
// until its context ends: each call is idempotent, a change by its id. It is
// safe for concurrent use.
type Client struct {
	// Addrs are base URLs, nearest first.
	Addrs []string
	Token string
	HTTP  *http.Client
	// Pause waits between rounds; nil stands for a timer.
	Pause func(ctx context.Context, d time.Duration) error
}

// request is one call, before it is addressed.
type request struct {
	method      string
	path        string
	query       url.Values
	contentType string
	body        []byte
}

// do makes the call and reads the reply into out. The error is a
// *problem.Problem, or says that no control VM answered.
func (c *Client) do(ctx context.Context, r request, out any) error {
	if len(c.Addrs) == 0 {
		return errors.New("no control VM is known; give -control or set DAMASK_CONTROL")
	}
	var failed failures
	for range maxRounds {
		for _, addr := range c.Addrs {
			err := c.attempt(ctx, addr, r, out)
			if err == nil || !again(err) {
				return err
			}
			failed.add(addr, err)
			if ctx.Err() != nil {
				return failed.err(r.method)
			}
		}
		if err := c.pause(ctx); err != nil {
			return failed.err(r.method)
		}
	}
	return failed.err(r.method)
}

// again says whether another control VM may answer the call.
func again(err error) bool {
	p, ok := problem.As(err)
	return !ok || p.Reason == problem.ControlDown
}

func (c *Client) pause(ctx context.Context) error {
	if c.Pause != nil {
		return c.Pause(ctx, roundPause)
	}
	t := time.NewTimer(roundPause)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) attempt(ctx context.Context, addr string, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.limit(ctx, r.path))
	defer cancel()
	target := strings.TrimSuffix(addr, "/") + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	h, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return badAddress(addr, err)
	}
	h.Header.Set("Authorization", "Bearer "+c.Token)
	if r.contentType != "" {
		h.Header.Set("Content-Type", r.contentType)
	}
	reply, err := c.HTTP.Do(h)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	return read(reply, body, out)
}

// auditPath begins the paths of the audit log's reads.
const auditPath = "/v1/audit"

// limit gives the time of one attempt. A read of the audit log may take longer
// than attemptTimeout, as it reads many sessions or a whole log again; it gets
// an equal share of the call's time, so that one silent control VM does not
// use up all of it.
func (c *Client) limit(ctx context.Context, path string) time.Duration {
	end, ok := ctx.Deadline()
	if !ok || !strings.HasPrefix(path, auditPath) {
		return attemptTimeout
	}
	return max(attemptTimeout, time.Until(end)/time.Duration(len(c.Addrs)))
}

func badAddress(addr string, err error) error {
	p := problem.New(problem.BadRequest, problem.NotRun, "control address %q: %v", addr, err)
	p.Remedy = "Give addresses such as https://10.0.0.1:8443."
	return p
}

// read gives the problem of a reply that reports one.
func read(reply *http.Response, body []byte, out any) error {
	if reply.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, out); err != nil {
			return fmt.Errorf("the reply cannot be read: %w", err)
		}
		return nil
	}
	var p problem.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Reason == "" {
		return fmt.Errorf("status %s, which is not from a control VM", reply.Status)
	}
	return &p
}

// Version gives the current version.
func (c *Client) Version(ctx context.Context) (admin.VersionReply, error) {
	var v admin.VersionReply
	err := c.do(ctx, request{method: http.MethodGet, path: "/v1/version"}, &v)
	return v, err
}

// ApplyDocument applies a document on the version base. The same id, base and
// document give the same result again.
func (c *Client) ApplyDocument(ctx context.Context, id string, base uint64, file string, doc []byte) (admin.ChangeReply, error) {
	var r admin.ChangeReply
	q := url.Values{"id": {id}, "base": {fmt.Sprint(base)}, "file": {file}}
	err := c.do(ctx, request{http.MethodPost, "/v1/changes", q, "application/yaml", doc}, &r)
	return r, err
}

// Diff gives the operations that a document would make.
func (c *Client) Diff(ctx context.Context, file string, doc []byte) (admin.DiffReply, error) {
	var r admin.DiffReply
	q := url.Values{"file": {file}}
	err := c.do(ctx, request{http.MethodPost, "/v1/diff", q, "application/yaml", doc}, &r)
	return r, err
}

// waitPerCall is the time that one call for a version waits. It is below
// attemptTimeout, so that a wait is not taken for a lost reply.
const waitPerCall = 2 * time.Second

// Wait waits until a version is in effect on every entry VM or ctx ends.
func (c *Client) Wait(ctx context.Context, version uint64) (admin.InEffectReply, error) {
	q := url.Values{"version": {fmt.Sprint(version)}, "wait_ms": {fmt.Sprint(waitPerCall.Milliseconds())}}
	var r admin.InEffectReply
	for {
		err := c.do(ctx, request{method: http.MethodGet, path: "/v1/in-effect", query: q}, &r)
		if err != nil || r.Done {
			return r, err
		}
		if ctx.Err() != nil {
			return r, fmt.Errorf("version %d is not in effect yet, version %d is; see 'damaskctl status' for the entry VMs that lag", version, r.InEffect)
		}
	}
}

// get reads from a path.
func (c *Client) get(ctx context.Context, path string, q url.Values, out any) error {
	return c.do(ctx, request{method: http.MethodGet, path: path, query: q}, out)
}
