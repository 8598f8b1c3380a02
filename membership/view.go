package membership

import "slices"

// View is an immutable picture of all pools. It is safe for concurrent use.
type View struct {
	pools   map[string]*poolView
	version uint64
}

// poolView shares its index with later views until the set of addresses of the
// pool changes.
type poolView struct {
	upstreams []*Upstream
	index     map[string]int32
}

// Version grows with each change.
func (v *View) Version() uint64 { return v.version }

// Pools gives the names of the pools in order.
func (v *View) Pools() []string {
	names := make([]string, 0, len(v.pools))
	for name := range v.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Pool gives the upstreams of a pool ordered by address, in every state. The
// slice must not be changed.
func (v *View) Pool(name string) []*Upstream {
	if p, ok := v.pools[name]; ok {
		return p.upstreams
	}
	return nil
}

// Find gives the upstream with the address in the pool.
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
