package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// applyDocument applies the deployment's settings as an operator would.
func (c *Cluster) applyDocument(ctx context.Context) error {
	return c.Apply(ctx, "sample-document", c.opts.Deployment.Document())
}

// Apply applies a settings document on the newest version with the change id.
// It tries again until a control VM has accepted it or ctx ends.
func (c *Cluster) Apply(ctx context.Context, id, document string) error {
	return poll(ctx, func() error {
		var version struct {
			Version uint64 `json:"version"`
		}
		if err := c.Operator(ctx, http.MethodGet, "/v1/version", nil, "", &version); err != nil {
			return err
		}
		path := fmt.Sprintf("/v1/changes?id=%s&base=%d", id, version.Version)
		return c.Operator(ctx, http.MethodPost, path, []byte(document), "application/yaml", nil)
	})
}

// Operator makes one call to the operators' API of the first control VM that
// answers, and decodes the answer into out unless it is nil.
func (c *Cluster) Operator(ctx context.Context, method, path string, body []byte, contentType string, out any) error {
	var last error
	for i := range c.Controls {
		last = c.operatorAt(ctx, i, method, path, body, contentType, out)
		if last == nil {
			return nil
		}
	}
	return last
}

func (c *Cluster) operatorAt(ctx context.Context, i int, method, path string, body []byte, contentType string, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.AdminURL(i)+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("cluster: operator call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("cluster: operator call: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("cluster: %s %s: status %d: %s", method, path, resp.StatusCode, raw)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}
