package transport

import (
	"context"
	"fmt"
	"slices"
)

// RequireRole returns a handler that forwards a call to h only if allowed lists
// the peer's role for the call's method. A method that is not listed is
// rejected for every role.
func RequireRole(h Handler, allowed map[Method][]string) Handler {
	return HandlerFunc(func(ctx context.Context, from Peer, m Method, body []byte) ([]byte, error) {
		if !slices.Contains(allowed[m], from.Role) {
			return nil, fmt.Errorf("VM %s with role %q may not call %s; use a certificate with another role", from.VM, from.Role, m)
		}
		return h.Serve(ctx, from, m, body)
	})
}
