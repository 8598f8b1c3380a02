package routing

import (
	"cmp"
	"slices"

	"damaskbridge.example/damaskbridge/membership"
)

// SubsetView narrows the large pools of a view to this VM's subsets. It is
// immutable and safe for concurrent use.
type SubsetView struct {
	view  *membership.View
	parts map[string][]*membership.Upstream
}

// NewSubsetView computes the subsets of every pool of the view. The cost is
// that of sorting the pools, so make it once for each view.
func NewSubsetView(view *membership.View, index, size int) *SubsetView {
	v := &SubsetView{view: view, parts: map[string][]*membership.Upstream{}}
	for _, name := range view.Pools() {
		v.parts[name] = Subset(index, size, view.Pool(name))
	}
	return v
}

// Version is that of the underlying view.
func (v *SubsetView) Version() uint64 { return v.view.Version() }

// Pool gives the subset of a pool ordered by address.
func (v *SubsetView) Pool(name string) []*membership.Upstream { return v.parts[name] }

// Find looks an address up in the subset.
func (v *SubsetView) Find(pool, address string) (*membership.Upstream, bool) {
	part := v.parts[pool]
	i, ok := slices.BinarySearchFunc(part, address, func(u *membership.Upstream, a string) int {
		return cmp.Compare(u.Address, a)
	})
	if !ok {
		return nil, false
	}
	return part[i], true
}
