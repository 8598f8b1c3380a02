package evacuation

import "slices"

const (
	// maxZones bounds the data centres that the state may hold.
	maxZones = 4096
	// maxZoneBytes bounds the length of a data centre's name.
	maxZoneBytes = 256
)

// Zone is the state of a data centre.
type Zone struct {
	Name      string `cbor:"1,keyasint"`
	Evacuated bool   `cbor:"2,keyasint,omitempty"`
	// Revision counts the orders that have changed the state.
	Revision uint64 `cbor:"3,keyasint"`
	// EndedUnixMS is the leader's time at the end of the last evacuation in Unix ms,
	// 0 before the first.
	EndedUnixMS int64 `cbor:"4,keyasint,omitempty"`
}

// Table is the state of all data centres that were ever evacuated. It is immutable;
// nil is the state before the first order.
type Table struct {
	// Version counts the orders that have changed the table.
	Version uint64 `cbor:"1,keyasint"`
	// Zones is sorted by name.
	Zones []Zone `cbor:"2,keyasint"`
}

// Apply returns the table after an order that the leader has received at nowUnixMS.
func (t *Table) Apply(nowUnixMS int64, o *Order) (*Table, Outcome) {
	zone, known := t.zone(o.Zone)
	switch {
	case zone.Evacuated == o.Start:
		return t, InForce
	case zone.Revision != o.Revision:
		return t, Outdated
	case o.Zone == "" || len(o.Zone) > maxZoneBytes || !known && t.len() >= maxZones:
		return t, Unacceptable
	}
	zone.Evacuated = o.Start
	zone.Revision++
	if !o.Start {
		zone.EndedUnixMS = nowUnixMS
	}
	return t.with(zone), InForce
}

// with returns a copy of the table with a changed data centre.
func (t *Table) with(zone Zone) *Table {
	next := &Table{Version: t.version() + 1}
	if t != nil {
		next.Zones = slices.Clone(t.Zones)
	}
	i, found := slices.BinarySearchFunc(next.Zones, zone.Name, compareName)
	if !found {
		next.Zones = slices.Insert(next.Zones, i, zone)
	}
	next.Zones[i] = zone
	return next
}

func (t *Table) zone(name string) (zone Zone, known bool) {
	if t != nil {
		if i, found := slices.BinarySearchFunc(t.Zones, name, compareName); found {
			return t.Zones[i], true
		}
	}
	return Zone{Name: name}, false
}

func compareName(z Zone, name string) int {
	switch {
	case z.Name < name:
		return -1
	case z.Name > name:
		return 1
	}
	return 0
}

func (t *Table) len() int {
	if t == nil {
		return 0
	}
	return len(t.Zones)
}

func (t *Table) version() uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}

// VersionOf returns the version of a table, 0 for nil.
func VersionOf(t *Table) uint64 { return t.version() }

// Revision returns the revision of a data centre, 0 if it was never evacuated.
func (t *Table) Revision(zone string) uint64 {
	z, _ := t.zone(zone)
	return z.Revision
}

// IsEvacuated reports whether a data centre is evacuated.
func (t *Table) IsEvacuated(zone string) bool {
	z, _ := t.zone(zone)
	return z.Evacuated
}

// EndedUnixMS returns the time at which the last evacuation of a data centre ended
// in Unix ms, 0 if none has ended.
func (t *Table) EndedUnixMS(zone string) int64 {
	z, _ := t.zone(zone)
	return z.EndedUnixMS
}

// Evacuated returns the evacuated data centres, sorted.
func (t *Table) Evacuated() []string {
	if t == nil {
		return nil
	}
	var names []string
	for _, z := range t.Zones {
		if z.Evacuated {
			names = append(names, z.Name)
		}
	}
	return names
}
