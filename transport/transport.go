// Package transport implements request-response calls between damaskbridge
// processes: over QUIC with mutual TLS, over plain TCP without authentication,
// and over an in-process network for tests.
package transport

import (
	"context"

	"damaskbridge.example/damaskbridge/ids"
)

// Method identifies the operation that a call requests.
type Method uint8

// Methods of the calls between processes of this system.
const (
	MethodRaft Method = iota + 1
	MethodPropose
	MethodRenew
	MethodAuditAppend
	MethodAuditQuery
	MethodStatus
	MethodSnapshot
	MethodAdmin
	MethodLocate
	MethodDocument
	MethodWatch
	MethodRoster
	MethodPieces
	MethodFreePieces
)

// Peer is the identity of the other end of a call. Over QUIC it comes from the
// peer's verified certificate; over plain TCP the peer states it itself.
type Peer struct {
	VM   ids.VMID
	Role string // "entry", "control" or "operator"
}

// Caller sends one request to addr ("ip:port") and waits for its response. It
// is safe for concurrent use. An error of type *NotSentError means that no byte
// of the request left this process.
type Caller interface {
	Call(ctx context.Context, addr string, m Method, body []byte) ([]byte, error)
}

// Handler serves calls. Each call to Serve runs on a goroutine of its own. The
// caller receives a returned error as a *RemoteError.
type Handler interface {
	Serve(ctx context.Context, from Peer, m Method, body []byte) ([]byte, error)
}

// HandlerFunc adapts a function to the Handler interface.
type HandlerFunc func(ctx context.Context, from Peer, m Method, body []byte) ([]byte, error)

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, from Peer, m Method, body []byte) ([]byte, error) {
	return f(ctx, from, m, body)
}
