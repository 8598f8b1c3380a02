package routing

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"damaskbridge.example/damaskbridge/membership"
)

// Subset returns the upstreams of a pool that the entry VM with the given index
// uses: size of them, or the whole pool if it is not larger than size.
//
// The upstreams form a ring ordered by the hash of their addresses, and a VM uses
// the size upstreams that follow its position. The positions are the van der
// Corput sequence of the indices. This sequence is evenly spread for any number
// of VMs, which bounds the spread of the number of VMs per upstream. Adding or
// removing a VM does not change the subset of any other VM. Adding or removing an
// upstream changes at most two upstreams of a subset. Indices must be stable and
// dense: a new VM takes the lowest free one.
func Subset(index, size int, upstreams []*membership.Upstream) []*membership.Upstream {
	if len(upstreams) <= size {
		return upstreams
	}
	return selectSubset(hashRing(upstreams), index, size)
}

// selectSubset returns a VM's subset of the ring, ordered by address.
func selectSubset(ring []*membership.Upstream, index, size int) []*membership.Upstream {
	n := len(ring)
	start := int(ringPosition(index) * float64(n))
	subset := make([]*membership.Upstream, 0, size)
	for i := range size {
		subset = append(subset, ring[(start+i)%n])
	}
	slices.SortFunc(subset, func(a, b *membership.Upstream) int { return cmp.Compare(a.Address, b.Address) })
	return subset
}

// ringPosition returns the element of the van der Corput sequence at the index:
// 0, 1/2, 1/4, 3/4... It mirrors the bits of the index at the binary point.
func ringPosition(index int) float64 {
	return float64(bits.Reverse64(uint64(index))>>11) / (1 << 53)
}

// hashRing returns the upstreams ordered by the hash of their addresses.
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
