package membership

import "slices"

// View is an immutable snapshot of all pools. It is safe for concurrent use.
type View struct {
	pools   map[string]*poolView
	version uint64
}

// poolView holds the upstreams of one pool, ordered by address, and their
// positions. Later Views share the index until the pool's set of addresses
// changes.
type poolView struct {
	upstreams []*Upstream
	index     map[string]int32
}

// Version returns the version of the view, which grows with each change.
func (v *View) Version() uint64 { return v.version }

// Pools returns the names of the pools in alphabetical order.
func (v *View) Pools() []string {
	names := make([]string, 0, len(v.pools))
	for name := range v.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Pool returns the upstreams of a pool in every state, ordered by address. The
// caller must not modify the slice.
func (v *View) Pool(name string) []*Upstream {
	if p, ok := v.pools[name]; ok {
		return p.upstreams
	}
	return nil
}

// Find returns the upstream with the given address in the pool.
func (v *View) Find(pool, address string) (*Upstream, bool) {
	p, ok := v.pools[pool]
	if !ok {
		return nil, false
	}
	i, ok := p.index[address]
	if !ok {
		return nil, false
	}
	return p.upstreams[i], true
}
