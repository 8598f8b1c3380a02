package upstream

import (
	"context"
	"encoding/json"
	"net/http"
)

// Order tells an engine what to load or to be. An engine that checks fencing
// refuses one with an older token than it has seen.
type Order struct {
	Kind          string `json:"kind"`
	Model         string `json:"model,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	Version       string `json:"version,omitempty"`
	Role          string `json:"role,omitempty"`
	FencingToken  uint64 `json:"fencing_token"`
	ExpiresUnixMS int64  `json:"expires_unix_ms"`
}

// Kinds of orders.
const (
	OrderLoadModel   = "load_model"
	OrderLoadAdapter = "load_adapter"
)

// Order gives an order over a new connection. The guard is checked directly
// before its first byte, so that a holder that was frozen gives no late order.
func (c *Client) Order(ctx context.Context, addr string, o Order, g Guard) error {
	body, err := json.Marshal(o)
	if err != nil {
		return &Error{Cause: NotSent, Address: addr, Err: err}
	}
	resp, err := c.open(ctx, call{method: http.MethodPost, addr: addr, path: "/orders", header: jsonHeader(), body: body, guard: g})
	if err != nil {
		return err
	}
	defer drop(resp)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &Error{Cause: Status, Address: addr, Status: resp.StatusCode}
	}
	return nil
}
