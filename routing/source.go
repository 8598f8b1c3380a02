package routing

import "damaskbridge.example/damaskbridge/membership"

// Source gives the upstreams to choose from. *membership.View is one; a
// SubsetView narrows another one to this VM's part of large pools.
type Source interface {
	// Version grows with each change.
	Version() uint64
	// Pool gives the upstreams of a pool. The slice must not be changed.
	Pool(name string) []*membership.Upstream
	Find(pool, address string) (*membership.Upstream, bool)
}

var (
	_ Source = (*membership.View)(nil)
	_ Source = (*SubsetView)(nil)
)
