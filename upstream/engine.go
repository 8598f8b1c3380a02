package upstream

import (
	"context"
	"fmt"
	"strconv"
)

// CacheEvent is one change of an engine's prefix cache. Events arrive late and
// their sequence numbers have gaps.
type CacheEvent struct {
	Seq      uint64 `json:"seq"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`
	AtUnixMS int64  `json:"at_unix_ms"`
}

// Stored reports whether the block was stored, as opposed to evicted.
func (e *CacheEvent) Stored() bool { return e.Kind == "stored" }

// Hash returns the hash of the block, as in PrefixChain.
func (e *CacheEvent) Hash() (uint64, error) {
	h, err := strconv.ParseUint(e.Prefix, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("cache event %d: prefix: %w", e.Seq, err)
	}
	return h, nil
}

// CacheEvents returns an engine's cache events that follow the sequence number
// after.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.getJSON(ctx, addr, "/cache/events?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// EngineState holds what an engine has loaded, its role and its fencing token.
type EngineState struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// Loading lists the models and adapters that are being loaded.
	Loading      []string          `json:"loading"`
	Versions     map[string]string `json:"versions"`
	Role         string            `json:"role"`
	FencingToken uint64            `json:"fencing_token"`
}

// State returns the state of an engine.
func (c *Client) State(ctx context.Context, addr string) (EngineState, error) {
	var s EngineState
	err := c.getJSON(ctx, addr, "/state", &s)
	return s, err
}
