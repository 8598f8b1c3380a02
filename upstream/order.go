package upstream

import (
	"context"
	"encoding/json"
	"net/http"
)

// Order instructs an engine to load a model or an adapter or to change its role.
// An engine that checks fencing refuses an order whose token is lower than one
// that it has seen.
type Order struct {
	Kind          string `json:"kind"`
	Model         string `json:"model,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	Version       string `json:"version,omitempty"`
	Role          string `json:"role,omitempty"`
	FencingToken  uint64 `json:"fencing_token"`
	ExpiresUnixMS int64  `json:"expires_unix_ms"`
}

// Kinds of orders, for Order.Kind.
const (
	OrderLoadModel   = "load_model"
	OrderLoadAdapter = "load_adapter"
)

// Order sends an order over a new connection. The guard is called directly before
// the first byte is written, so that the holder of a fencing token whose process
// was suspended does not send an order too late.
func (c *Client) Order(ctx context.Context, addr string, o Order, g Guard) error {
	body, err := json.Marshal(o)
	if err != nil {
		return &Error{Cause: NotSent, Address: addr, Err: err}
	}
	resp, err := c.open(ctx, callSpec{method: http.MethodPost, addr: addr, path: "/orders", header: jsonHeader(), body: body, guard: g})
	if err != nil {
		return err
	}
	defer discard(resp)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &Error{Cause: ErrorStatus, Address: addr, Status: resp.StatusCode}
	}
	return nil
}
