package control

import (
	"context"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// Locate returns the address of the HTTP listener of a session's entry VM. The
// address is empty if the control VM that answers does not know it.
func (c *Client) Locate(ctx context.Context, session ids.SessionID) (string, error) {
	body, err := wire.Encode(&wire.Locate{Session: session})
	if err != nil {
		return "", err
	}
	raw, err := c.Call(ctx, transport.MethodLocate, body)
	if err != nil {
		return "", err
	}
	var reply wire.LocateReply
	if err := wire.Decode(raw, &reply); err != nil {
		return "", err
	}
	return reply.Callers, nil
}
