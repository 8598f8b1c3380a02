// Package transport carries calls between damaskbridge processes over QUIC
// with mutual TLS.
package transport

import (
	"context"

	"damaskbridge.example/damaskbridge/ids"
)

// Method names what a call asks for.
type Method uint8

// Methods of the calls between own processes.
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

// Peer is the authenticated other end of a call, as its certificate names it.
type Peer struct {
	VM   ids.VMID
	Role string // "entry", "control" or "operator"
}

// Caller sends one request to addr ("ip:port") and waits for its answer. It is
// safe for concurrent use. An error of type *NotSentError means that no byte
// of the request left this process.
type Caller interface {
	Call(ctx context.Context, addr string, m Method, body []byte) ([]byte, error)
}

// Handler answers calls. Serve is called on one goroutine for each call. An
// error reaches the caller as a *RemoteError.
type Handler interface {
	Serve(ctx context.Context, from Peer, m Method, body []byte) ([]byte, error)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, from Peer, m Method, body []byte) ([]byte, error)

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, from Peer, m Method, body []byte) ([]byte, error) {
	return f(ctx, from, m, body)
}
