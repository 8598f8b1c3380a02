package upstream

import (
	"context"
	"fmt"
	"strconv"
)

// CacheEvent is one change of an engine's prefix cache. Events come late and
// with gaps in their sequence numbers.
type CacheEvent struct {
	Seq      uint64 `json:"seq"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`
	AtUnixMS int64  `json:"at_unix_ms"`
}

// Stored says whether the event is about a block that was stored, not evicted.
func (e *CacheEvent) Stored() bool { return e.Kind == "stored" }

// Hash gives the block's hash.
func (e *CacheEvent) Hash() (uint64, error) {
	h, err := strconv.ParseUint(e.Prefix, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("cache event %d: prefix: %w", e.Seq, err)
	}
	return h, nil
}

// CacheEvents gives an engine's cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.getJSON(ctx, addr, "/cache/events?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// EngineState is what an engine has loaded.
type EngineState struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// Loading lists models and adapters that an order has begun to load.
	Loading      []string          `json:"loading"`
	Versions     map[string]string `json:"versions"`
	Role         string            `json:"role"`
	FencingToken uint64            `json:"fencing_token"`
}

// State gives what an engine has loaded.
func (c *Client) State(ctx context.Context, addr string) (EngineState, error) {
	var s EngineState
	err := c.getJSON(ctx, addr, "/state", &s)
	return s, err
}
