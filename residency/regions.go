package residency

import (
	"slices"
	"strings"
)

// Regions is the set of regions that are allowed. The zero value allows all. It is
// immutable.
type Regions struct {
	// names holds the allowed regions, sorted, if restricted is true.
	names      []string
	restricted bool
}

// Of returns the regions of a list. An empty list allows all regions.
func Of(list []string) Regions {
	if len(list) == 0 {
		return Regions{}
	}
	names := slices.Clone(list)
	slices.Sort(names)
	return Regions{names: slices.Compact(names), restricted: true}
}

// Intersect returns the regions that both sets allow. The result may allow none.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.restricted:
		return other
	case !other.restricted:
		return r
	}
	both := slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return !other.Allows(name) })
	return Regions{names: both, restricted: true}
}

// Allows reports whether a region is in the set. A region without a name is only
// allowed if all are.
func (r Regions) Allows(region string) bool {
	if !r.restricted {
		return true
	}
	_, found := slices.BinarySearch(r.names, region)
	return found && region != noRegion
}

// Restricted reports whether some region is not allowed.
func (r Regions) Restricted() bool { return r.restricted }

// IsEmpty reports whether no region is allowed.
func (r Regions) IsEmpty() bool { return r.restricted && len(r.names) == 0 }

// String lists the allowed regions.
func (r Regions) String() string {
	if !r.restricted {
		return "all"
	}
	return "[" + strings.Join(r.names, " ") + "]"
}

// noRegion is a name that no region has. It stands in a list for a set that allows
// none, because an empty list allows all.
const noRegion = ""

// List returns a list of which Of makes the same set.
func (r Regions) List() []string {
	if r.IsEmpty() {
		return []string{noRegion}
	}
	return slices.Clone(r.names)
}
