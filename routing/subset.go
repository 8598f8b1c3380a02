package routing

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"damaskbridge.example/damaskbridge/membership"
)

// Subset gives the part of a large pool that the entry VM with the given index
// uses; it is the whole pool if that is not larger than size.
//
// The upstreams stand on a ring ordered by the hash of their addresses, and a
// VM takes the size upstreams that follow its place. Places come from the van
// der Corput sequence of the indices, which is even for any number of VMs, so
// that the number of VMs per upstream has a bounded spread. A VM that comes or
// goes changes no other VM's subset; an upstream that comes or goes changes at
// most two upstreams of a subset. The index must be stable and dense: a VM
// takes the lowest free one.
func Subset(index, size int, upstreams []*membership.Upstream) []*membership.Upstream {
	if len(upstreams) <= size {
		return upstreams
	}
	return cut(hashRing(upstreams), index, size)
}

// cut takes a VM's part of the ring, ordered by address.
func cut(ring []*membership.Upstream, index, size int) []*membership.Upstream {
	n := len(ring)
	start := int(place(index) * float64(n))
	part := make([]*membership.Upstream, 0, size)
	for i := range size {
		part = append(part, ring[(start+i)%n])
	}
	slices.SortFunc(part, func(a, b *membership.Upstream) int { return cmp.Compare(a.Address, b.Address) })
	return part
}

// place mirrors the bits of the index at the binary point: 0, 1/2, 1/4, 3/4...
func place(index int) float64 {
	return float64(bits.Reverse64(uint64(index))>>11) / (1 << 53)
}

func hashRing(upstreams []*membership.Upstream) []*membership.Upstream {
	type hashed struct {
		hash uint64
		u    *membership.Upstream
	}
	all := make([]hashed, len(upstreams))
	for i, u := range upstreams {
		all[i] = hashed{hash: xxhash.Sum64String(u.Address), u: u}
	}
	slices.SortFunc(all, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.u.Address, b.u.Address))
	})
	ring := make([]*membership.Upstream, len(all))
	for i := range all {
		ring[i] = all[i].u
	}
	return ring
}
