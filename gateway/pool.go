package gateway

import (
	"slices"

	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/residency"
)

// poolKey identifies the runners of a service in a data centre. One VM assembles
// their stage calls.
type poolKey struct{ service, zone string }

// inPool returns the listed runners of a pool.
func (r *runnerSet) inPool(pool poolKey) []listedRunner {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []listedRunner
	for _, l := range r.byService[pool.service] {
		if l.Zone == pool.zone {
			list = append(list, l)
		}
	}
	return list
}

// preferredZone returns the zone whose runners of a service this VM uses for
// requests that may be processed in the allowed regions: its own zone, else one of
// its region, else one that all VMs without a nearer zone choose. It returns "" if
// there is none.
func (r *runnerSet) preferredZone(service string, allowed residency.Regions) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	byDistance := map[placement.Distance][]string{}
	for i := range r.byService[service] {
		l := &r.byService[service][i]
		if l.Draining || !r.eligible(l, allowed) {
			continue
		}
		d := r.topology.DistanceTo(l.Zone)
		if !slices.Contains(byDistance[d], l.Zone) {
			byDistance[d] = append(byDistance[d], l.Zone)
		}
	}
	for _, d := range []placement.Distance{placement.SameZone, placement.SameRegion, placement.OtherRegion} {
		if zones := byDistance[d]; len(zones) > 0 {
			return placement.PickRendezvous(service, zones)
		}
	}
	return ""
}
