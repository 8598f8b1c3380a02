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

// reply is an HTTP response with its body.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	request string
}

// post sends a request to the i-th entry VM.
func (s *sampler) post(ctx context.Context, i int, path string, body any, header ...string) (*reply, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	targets := s.c.Targets()
	url := targets[i%len(targets)].URL + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+s.d.Workspaces[0].Token)
	for n := 0; n+1 < len(header); n += 2 {
		req.Header.Set(header[n], header[n+1])
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
	return &reply{status: resp.StatusCode, header: resp.Header, body: out, request: resp.Header.Get(entry.HeaderRequest)}, nil
}

// want gives an error unless the reply has the status.
func (r *reply) want(status int) error {
	if r.status != status {
		return fmt.Errorf("status %d, want %d: %s", r.status, status, r.body)
	}
	return nil
}

// problem decodes the reply's problem.
func (r *reply) problem() (*problem.Problem, error) {
	var p problem.Problem
	if err := json.Unmarshal(r.body, &p); err != nil {
		return nil, fmt.Errorf("not a problem: %s", r.body)
	}
	return &p, nil
}
