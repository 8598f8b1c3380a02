package routing

import (
	"cmp"
	"slices"

	"damaskbridge.example/damaskbridge/membership"
)

// SubsetView restricts the large pools of a view to this VM's subsets. It is
// immutable and safe for concurrent use.
type SubsetView struct {
	view    *membership.View
	subsets map[string][]*membership.Upstream
}

// NewSubsetView returns a SubsetView of the view. It sorts every pool, so create
// it only once per view.
func NewSubsetView(view *membership.View, index, size int) *SubsetView {
	v := &SubsetView{view: view, subsets: map[string][]*membership.Upstream{}}
	for _, name := range view.Pools() {
		v.subsets[name] = Subset(index, size, view.Pool(name))
	}
	return v
}

// Version returns the version of the underlying view.
func (v *SubsetView) Version() uint64 { return v.view.Version() }

// Pool returns the subset of a pool, ordered by address.
func (v *SubsetView) Pool(name string) []*membership.Upstream { return v.subsets[name] }

// Find returns the upstream with the given address if it is in the subset.
func (v *SubsetView) Find(pool, address string) (*membership.Upstream, bool) {
	subset := v.subsets[pool]
	i, ok := slices.BinarySearchFunc(subset, address, func(u *membership.Upstream, a string) int {
		return cmp.Compare(u.Address, a)
	})
	if !ok {
		return nil, false
	}
	return subset[i], true
}
