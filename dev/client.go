package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"damaskbridge.example/damaskbridge/entry"
	"damaskbridge.example/damaskbridge/problem"
)

// reply is an HTTP response with its body read.
type reply struct {
	status    int
	header    http.Header
	body      []byte
	requestID string
}

// post sends body as JSON to the i-th entry VM with the token of the first
// workspace. headers lists names and values of further headers in turn.
func (c *checker) post(ctx context.Context, i int, path string, body any, headers ...string) (*reply, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	targets := c.cluster.Targets()
	url := targets[i%len(targets)].URL + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.deployment.Workspaces[0].Token)
	for n := 0; n+1 < len(headers); n += 2 {
		req.Header.Set(headers[n], headers[n+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &reply{status: resp.StatusCode, header: resp.Header, body: out, requestID: resp.Header.Get(entry.HeaderRequest)}, nil
}

// expectStatus returns an error unless the reply has the status.
func (r *reply) expectStatus(status int) error {
	if r.status != status {
		return fmt.Errorf("status %d, want %d: %s", r.status, status, r.body)
	}
	return nil
}

// decodeProblem decodes the body as a problem document.
func (r *reply) decodeProblem() (*problem.Problem, error) {
	var p problem.Problem
	if err := json.Unmarshal(r.body, &p); err != nil {
		return nil, fmt.Errorf("response is not a problem document: %s", r.body)
	}
	return &p, nil
}
