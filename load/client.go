package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"time"

	"damaskbridge.example/damaskbridge/problem"
)

const (
	// maxBody bounds a whole response in bytes.
	maxBody = 16 << 20
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// idlePerEntry is the number of idle connections kept to an entry VM.
	idlePerEntry = 512
)

// client sends single tries.
type client struct {
	http     *http.Client
	measured *measures
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerEntry,
		DisableCompression:  true,
	}}
}

// try sends a request to one entry VM and checks the response. Due is the
// scheduled time.
func (c *client) try(ctx context.Context, t *target, r *request, due time.Time) result {
	req, err := c.build(ctx, t, r, due)
	if err != nil {
		return result{verdict: verdictNotSent, entry: t, note: err.Error()}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return broken(t, err)
	}
	defer func() { _ = res.Body.Close() }()
	out := result{entry: t, requestID: res.Header.Get("Damask-Request"), status: res.StatusCode}
	out.replayed = res.Header.Get("Damask-Replayed") == "true"
	if isProblem(res) {
		readProblem(res, &out)
		return out
	}
	if res.StatusCode != http.StatusOK {
		out.verdict = verdictProblem
		out.note = "status " + res.Status + " without a problem"
		return out
	}
	c.read(ctx, r, due, res, &out)
	return out
}

func (c *client) build(ctx context.Context, t *target, r *request, due time.Time) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+r.path(), bytes.NewReader(r.body()))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport sends no request again by itself; every
	// repetition is this tool's own decision.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+r.workspace.Token)
	left := max(time.Until(due.Add(r.profile.Deadline)), time.Millisecond)
	req.Header.Set("Damask-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if r.profile.Priority != "" {
		req.Header.Set("Damask-Priority", r.profile.Priority)
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	return req, nil
}

// broken classifies the error of a call without a response.
func broken(t *target, err error) result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result{verdict: verdictNotSent, entry: t, note: err.Error()}
	}
	return result{verdict: verdictBroken, entry: t, note: err.Error()}
}

func isProblem(res *http.Response) bool {
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && kind == problem.ContentType
}

func readProblem(res *http.Response, out *result) {
	p := &problem.Problem{}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxBody)).Decode(p); err != nil {
		out.verdict = verdictBroken
		out.note = "problem: " + err.Error()
		return
	}
	out.ended(p)
}

// ended returns the verdict of a problem.
func (out *result) ended(p *problem.Problem) {
	out.problem = p
	out.verdict = verdictProblem
	if p.Execution == problem.NotRun {
		out.verdict = verdictRefused
	}
	out.note = fmt.Sprintf("%s (%s): %s", p.Reason, p.Execution, p.Detail)
}

// read reads and checks a successful response.
func (c *client) read(ctx context.Context, r *request, due time.Time, res *http.Response, out *result) {
	switch r.profile.Kind {
	case KindStream, KindLongReport:
		s := &streamReader{client: c, request: r, due: due, out: out}
		s.read(ctx, res)
		return
	case KindChatStream:
		c.readChatStream(r, due, res, out)
		return
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	if err != nil {
		out.verdict = verdictBroken
		out.note = "body: " + err.Error()
		return
	}
	switch {
	case r.profile.Kind.service():
		checkService(r, body, out)
	case r.profile.Kind == KindChat:
		checkChat(r, body, out)
	default:
		checkPipeline(r, body, out)
	}
}
