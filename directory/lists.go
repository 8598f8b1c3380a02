package directory

import (
	"slices"
	"strings"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/delta"
)

// changeKind is a kind of changes that can be waited for.
type changeKind int

const (
	// anyChange is a change of any set.
	anyChange changeKind = iota
	// entryVMChanges are those of the sets that entry VMs receive.
	entryVMChanges
	// reportChanges are those of the control VMs' reports of entry VMs and of what
	// these have observed.
	reportChanges
	changeKinds
)

// includes reports whether a change of the set with a name is of the kind.
func (k changeKind) includes(name string) bool {
	switch k {
	case entryVMChanges:
		return sentToEntryVMs(name)
	case reportChanges:
		return strings.HasPrefix(name, watchersPrefix) || strings.HasPrefix(name, crashesPrefix)
	}
	return true
}

// lists holds the sets of a control VM. It is safe for concurrent use.
type lists struct {
	mu    sync.Mutex
	store *delta.Store
	// changed holds, for each kind, a channel that is closed at the next change.
	changed [changeKinds]chan struct{}
}

func newLists() *lists {
	l := &lists{store: delta.NewStore()}
	for kind := range changeKinds {
		l.changed[kind] = make(chan struct{})
	}
	return l
}

// nextChange returns a channel that is closed at the next change of a kind.
func (l *lists) nextChange(kind changeKind) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed[kind]
}

// put stores a set that was current at asOf. It returns the set before and
// whether the content has changed.
func (l *lists) put(name string, asOf time.Time, set *delta.Set) (before *delta.Set, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, _ = l.store.Get(name)
	if !l.store.Put(name, asOf, set) {
		return before, false
	}
	l.announce([]string{name})
	return before, true
}

// announce wakes those who wait for changes of the sets with these names. l.mu
// is held.
func (l *lists) announce(names []string) {
	for kind := range changeKinds {
		if slices.ContainsFunc(names, kind.includes) {
			close(l.changed[kind])
			l.changed[kind] = make(chan struct{})
		}
	}
}

// has reports whether there is a set with a name.
func (l *lists) has(name string) bool { return !l.asOf(name).IsZero() }

// versions returns the versions of all sets.
func (l *lists) versions(now time.Time) []delta.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.store.Versions(now)
}

// changesFor returns what the caller of a watch lacks.
func (l *lists) changesFor(now, calledAt time.Time, call *watchCall) (*delta.Changes, error) {
	include := sentToEntryVMs
	if call.Control {
		include = func(string) bool { return true }
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.store.ChangesFor(now, calledAt, call.Sets, include)
}

// apply stores the changes of another control VM.
func (l *lists) apply(madeAt time.Time, known []delta.Version, c *delta.Changes) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	names, err := l.store.Apply(madeAt, known, c)
	l.announce(names)
	return err
}

// asOf returns as of when the content of a set is current, the zero time if
// there is no such set.
func (l *lists) asOf(name string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, t := l.store.Get(name)
	return t
}

// digest returns a digest of all sets with a prefix.
func (l *lists) digest(prefix string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum uint64
	for _, name := range namesWith(l.store, prefix) {
		set, _ := l.store.Get(name)
		sum += set.Digest()
	}
	return sum
}

// runners returns all runners. A set that cannot be decoded comes from a later
// release and is left out.
func (l *lists) runners() []Runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Runner
	for _, name := range namesWith(l.store, runnersPrefix) {
		set, _ := l.store.Get(name)
		if list, err := decodeSet[Runner](set); err == nil {
			all = append(all, list...)
		}
	}
	return all
}

// entries returns the entry VMs of the whole system, sorted by address.
func (l *lists) entries() []EntryVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return entriesOf(l.store)
}

// putEntries replaces the entry VMs of the whole system.
func (l *lists) putEntries(now time.Time, list []EntryVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announce(putByZone(l.store, entriesPrefix, now, list, entryZone))
}

// reportedEntries returns the entry VMs that control VMs have reported since a
// time, and forgets reports from before forgetBefore. A VM that one control VM
// reports as draining is draining.
func (l *lists) reportedEntries(since, forgetBefore time.Time) map[string]EntryVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]EntryVM{}
	for _, name := range namesWith(l.store, watchersPrefix) {
		set, asOf := l.store.Get(name)
		if asOf.Before(forgetBefore) {
			l.store.Remove(name)
			l.store.Remove(controlsPrefix + strings.TrimPrefix(name, watchersPrefix))
			l.store.Remove(crashesPrefix + strings.TrimPrefix(name, watchersPrefix))
			continue
		}
		if asOf.Before(since) {
			continue
		}
		list, err := decodeSet[EntryVM](set)
		if err != nil {
			// The VM runs a release whose entries this one cannot read.
			continue
		}
		for _, vm := range list {
			vm.Draining = vm.Draining || all[vm.Addr].Draining
			all[vm.Addr] = vm
		}
	}
	return all
}

// roundTrips returns the round-trip times to the platform's list that control
// VMs have reported, by their addresses.
func (l *lists) roundTrips() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]time.Duration{}
	for _, name := range namesWith(l.store, controlsPrefix) {
		set, _ := l.store.Get(name)
		list, err := decodeSet[controlVM](set)
		if err != nil {
			// The VM runs a later release; it counts as far from the list.
			continue
		}
		for _, vm := range list {
			all[vm.Addr] = time.Duration(vm.ListRoundTripMS) * time.Millisecond
		}
	}
	return all
}
