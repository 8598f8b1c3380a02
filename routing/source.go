package routing

import "damaskbridge.example/damaskbridge/membership"

// Source provides the upstreams to choose from. It is implemented by
// *membership.View and by *SubsetView, which restricts large pools to this VM's
// subset.
type Source interface {
	// Version returns the version of the view. It increases with each change.
	Version() uint64
	// Pool returns the upstreams of a pool. The slice must not be changed.
	Pool(name string) []*membership.Upstream
	// Find returns the upstream of a pool with the given address.
	Find(pool, address string) (*membership.Upstream, bool)
}

var (
	_ Source = (*membership.View)(nil)
	_ Source = (*SubsetView)(nil)
)
