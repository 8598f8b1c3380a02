package residency

import "slices"

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

// noRegion is a name that no region has. It stands in a list for a set that allows
// none, because an empty list allows all.
const noRegion = ""

// List returns a list of which Of makes the same set.
func (r Regions) List() []string {
	if r.restricted && len(r.names) == 0 {
		return []string{noRegion}
	}
	return slices.Clone(r.names)
}
