package membership

import (
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// maxRefusedDoublings limits the shift of the backoff after refused connections,
// so that it cannot overflow.
const maxRefusedDoublings = 10

// Tracker maintains the state of all upstreams and builds Views of it.
type Tracker struct {
	opts    Options
	entries map[string]*entry
	listSeq uint64
	hasList bool
	// pendingRemovals holds, by pool, the removals that await confirmation.
	pendingRemovals map[string]*pendingRemoval
	pools           map[string]*poolView
	// dirtyEntries holds the entries that changed since the last View, and
	// dirtyPools the pools whose set of addresses changed.
	dirtyEntries  map[*entry]bool
	dirtyPools    map[string]bool
	poolAddresses map[string][]string
	view          *View
	counts        Counts
}

// Counts holds event counters. OutdatedLists counts the lists that were ignored
// as outdated. SuspectLists grows by one for each pool of a list whose removals
// were deferred, ConfirmedLists for each pool whose deferred removals were
// applied. Draining and Refused count the observations of this VM,
// ObservationsApplied those of other VMs that changed a state.
type Counts struct {
	OutdatedLists, SuspectLists, ConfirmedLists uint64
	Draining, Refused, ObservationsApplied      uint64
}

// NewTracker returns a Tracker whose View is empty.
func NewTracker(opts Options) *Tracker {
	return &Tracker{
		opts:            opts,
		entries:         map[string]*entry{},
		pendingRemovals: map[string]*pendingRemoval{},
		pools:           map[string]*poolView{},
		dirtyEntries:    map[*entry]bool{},
		dirtyPools:      map[string]bool{},
		poolAddresses:   map[string][]string{},
		view:            &View{pools: map[string]*poolView{}},
	}
}

// ObserveDraining records that the upstream reported that it is draining. Unknown
// addresses are ignored.
func (t *Tracker) ObserveDraining(address string, now time.Time) {
	e := t.entries[address]
	if e == nil {
		return
	}
	t.counts.Draining++
	e.ownObservation, e.ownObservationAt = settings.ObservedLeaving, now
	t.markLeaving(e, now)
	t.applyConfirmed(now)
}

// ObserveRefused records that the upstream refused a connection. Unknown
// addresses are ignored.
func (t *Tracker) ObserveRefused(address string, now time.Time) {
	e := t.entries[address]
	if e == nil {
		return
	}
	t.counts.Refused++
	if !e.leaving() {
		e.ownObservation, e.ownObservationAt = settings.ObservedRefused, now
	}
	t.markRefused(e, now)
	t.applyConfirmed(now)
}

// ObserveSuccess records a response of any status that did not report draining.
// It ends Refused but not Leaving, because requests in flight still complete
// while an upstream drains. Unknown addresses are ignored.
func (t *Tracker) ObserveSuccess(address string, now time.Time) {
	e := t.entries[address]
	if e == nil {
		return
	}
	e.succeededAt = now
	if e.consecutiveRefusals == 0 {
		return
	}
	e.consecutiveRefusals = 0
	if now.Before(e.refusedUntil) {
		e.refusedUntil = now
		e.slowStartFrom = now
	}
	t.markDirty(e)
}

// ApplyObservations applies observations of other entry VMs. One of leaving takes
// effect immediately. One of a refused connection is ignored if this VM has
// reached the upstream since, because the fault may lie between the other VM and
// the upstream.
func (t *Tracker) ApplyObservations(observations []settings.Observation, now time.Time) {
	for _, o := range observations {
		t.applyObservation(o, now)
	}
	t.applyConfirmed(now)
}

func (t *Tracker) applyObservation(o settings.Observation, now time.Time) {
	e := t.entries[o.Address]
	age := time.Duration(o.AgeMS) * time.Millisecond
	if e == nil || o.From == t.opts.Self || age > t.opts.MaxObservationAge {
		return
	}
	observedAt := now.Add(-age)
	switch o.State {
	case settings.ObservedLeaving:
		t.applyLeaving(e, observedAt)
	case settings.ObservedRefused:
		t.applyRefused(e, observedAt)
	}
}

// applyLeaving ignores observations that are older than the upstream's return:
// they refer to an earlier incarnation.
func (t *Tracker) applyLeaving(e *entry, observedAt time.Time) {
	if e.leaving() || observedAt.Before(e.returnedAt) {
		return
	}
	t.counts.ObservationsApplied++
	t.markLeaving(e, observedAt)
}

func (t *Tracker) applyRefused(e *entry, observedAt time.Time) {
	// The same observation arrives with each Renew, with a rounded age. One whose
	// time lies within the current backoff is a repetition.
	if e.succeededAt.After(observedAt) || !observedAt.After(e.refusedUntil) {
		return
	}
	t.counts.ObservationsApplied++
	t.markRefused(e, observedAt)
}

func (t *Tracker) markLeaving(e *entry, observedAt time.Time) {
	if e.leaving() {
		return
	}
	e.leavingSince = observedAt
	t.markDirty(e)
}

func (t *Tracker) markRefused(e *entry, observedAt time.Time) {
	backoff := t.opts.RefusedBackoff << min(e.consecutiveRefusals, maxRefusedDoublings)
	backoff = min(backoff, t.opts.MaxRefusedBackoff)
	e.consecutiveRefusals++
	e.refusedAt = observedAt
	e.refusedUntil = observedAt.Add(backoff)
	// Slow start begins when the backoff ends.
	e.slowStartFrom = e.refusedUntil
	t.markDirty(e)
}

// Observations returns this VM's recent observations, ordered by address, to be
// sent with Renew. Each one is returned for ObservationLifetime, so that a lost
// Renew does not lose it.
func (t *Tracker) Observations(now time.Time) []settings.Observation {
	var observations []settings.Observation
	for address, e := range t.entries {
		age := now.Sub(e.ownObservationAt)
		if e.ownObservation == "" || age > t.opts.ObservationLifetime {
			continue
		}
		observations = append(observations, settings.Observation{
			Address: address,
			State:   e.ownObservation,
			From:    t.opts.Self,
			AgeMS:   uint32(max(age, 0).Milliseconds()),
			Region:  e.member.Region,
		})
	}
	sortObservations(observations)
	return observations
}

// Counts returns the event counters.
func (t *Tracker) Counts() Counts { return t.counts }

// markDirty makes the next View contain a new record of the entry.
func (t *Tracker) markDirty(e *entry) {
	e.published = nil
	t.dirtyEntries[e] = true
}
