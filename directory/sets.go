package directory

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/delta"
	"damaskbridge.example/damaskbridge/quarantine"
	"damaskbridge.example/damaskbridge/warmup"
	"damaskbridge.example/damaskbridge/wire"
)

// The names of sets are one of these prefixes and, for the first two, a data
// centre.
const (
	// runnersPrefix names the runners of a data centre, as listed by the platform.
	runnersPrefix = "runners/"
	// entriesPrefix names the entry VMs of a data centre, as merged by the leader.
	entriesPrefix = "entries/"
	// watchersPrefix names the entry VMs that watch one control VM, controlsPrefix
	// what a control VM reports about itself, both followed by its address. Only
	// control VMs exchange these sets.
	watchersPrefix = "watchers/"
	controlsPrefix = "controls/"
	// crashesPrefix names what the entry VMs that watch one control VM have
	// observed of crashed runners, followed by the control VM's address. Only
	// control VMs exchange these sets.
	crashesPrefix = "crashes/"
	// quarantineName is the set of the quarantined parts of prompts.
	quarantineName = "quarantine/parts"
	// warmUpsName is the set of the grants of runners that warm up.
	warmUpsName = "warmups/grants"
)

// sentToEntryVMs reports whether entry VMs receive the set with a name.
func sentToEntryVMs(name string) bool {
	return hasRunners(name) || strings.HasPrefix(name, entriesPrefix) || name == quarantineName || name == warmUpsName
}

// member is a value of a set.
type member interface {
	Runner | EntryVM | controlVM | crashReport | quarantine.Quarantined | warmup.Grant
}

func runnerZone(r Runner) string { return r.Zone }
func entryZone(e EntryVM) string { return e.Zone }

// encodeSet returns the set of the encoded values.
func encodeSet[T member](list []T) *delta.Set {
	values := make([][]byte, 0, len(list))
	for i := range list {
		b, err := wire.Encode(&list[i])
		if err != nil {
			// The types consist of strings, numbers, booleans and lists of them.
			panic(err)
		}
		values = append(values, b)
	}
	return delta.NewSet(values)
}

// decodeSet returns the values of a set, in the order of their encodings.
func decodeSet[T member](set *delta.Set) ([]T, error) {
	if set == nil {
		return nil, nil
	}
	list := make([]T, 0, set.Len())
	for _, b := range set.Values() {
		var v T
		if err := wire.Decode(b, &v); err != nil {
			return nil, fmt.Errorf("directory: a value of a list cannot be decoded; check that all VMs run the same release: %w", err)
		}
		list = append(list, v)
	}
	return list, nil
}

// namesWith returns the names of a store's sets that have a prefix, sorted.
func namesWith(st *delta.Store, prefix string) []string {
	return slices.DeleteFunc(st.Names(), func(name string) bool { return !strings.HasPrefix(name, prefix) })
}

// entriesOf returns the entry VMs of all data centres, sorted by address. A set
// that cannot be decoded comes from a later release and is left out.
func entriesOf(st *delta.Store) []EntryVM {
	var all []EntryVM
	for _, name := range namesWith(st, entriesPrefix) {
		set, _ := st.Get(name)
		list, err := decodeSet[EntryVM](set)
		if err == nil {
			all = append(all, list...)
		}
	}
	sortEntries(all)
	return all
}

// putByZone replaces the sets with a prefix by those of the list, one for each
// data centre. It returns the names of those that have changed.
func putByZone[T member](st *delta.Store, prefix string, now time.Time, list []T, zone func(T) string) (changed []string) {
	byZone := map[string][]T{}
	for _, name := range namesWith(st, prefix) {
		byZone[name] = nil
	}
	for _, v := range list {
		name := prefix + zone(v)
		byZone[name] = append(byZone[name], v)
	}
	for name, values := range byZone {
		if st.Put(name, now, encodeSet(values)) {
			changed = append(changed, name)
		}
	}
	return changed
}

func sortEntries(list []EntryVM) {
	slices.SortFunc(list, func(a, b EntryVM) int { return cmp.Compare(a.Addr, b.Addr) })
}

// hasRunners reports whether the set with a name holds runners.
func hasRunners(name string) bool { return strings.HasPrefix(name, runnersPrefix) }
