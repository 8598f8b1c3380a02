package controlvm

import (
	"context"

	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// registerLocate registers the handler that returns the address of the entry VM
// of a session.
func (v *VM) registerLocate() {
	v.server.Handle(transport.MethodLocate, transport.HandlerFunc(
		func(ctx context.Context, _ transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
			var q wire.Locate
			if err := wire.Decode(body, &q); err != nil {
				return nil, err
			}
			var reply wire.LocateReply
			err := v.replica.Do(ctx, func() {
				if info, ok := v.machine.Session(q.Session); ok {
					reply.Callers = info.Callers
				}
			})
			if err != nil {
				return nil, err
			}
			return wire.Encode(&reply)
		}))
}
