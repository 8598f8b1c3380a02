package membership

import (
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// refusedDoublings bounds the shift in the refused backoff.
const refusedDoublings = 10

// Tracker owns the state behind the View.
type Tracker struct {
	opts    Options
	entries map[string]*entry
	seq     uint64
	started bool
	// suspicions holds the pools whose shrink waits for confirmation.
	suspicions map[string]*suspicion
	pools      map[string]*poolView
	// dirty holds the entries that changed since the last View, and reindex the
	// pools whose set of addresses changed.
	dirty   map[*entry]bool
	reindex map[string]bool
	members map[string][]string
	view    *View
	counts  Counts
}

// Counts are the tracker's counters.
type Counts struct {
	OldLists, SuspectLists, ConfirmedLists uint64
	Draining, Refused, SignsApplied        uint64
}

// NewTracker gives a tracker with an empty view.
func NewTracker(opts Options) *Tracker {
	return &Tracker{
		opts:       opts,
		entries:    map[string]*entry{},
		suspicions: map[string]*suspicion{},
		pools:      map[string]*poolView{},
		dirty:      map[*entry]bool{},
		reindex:    map[string]bool{},
		members:    map[string][]string{},
		view:       &View{pools: map[string]*poolView{}},
	}
}

// ObserveDraining records that the upstream itself said that it is leaving.
func (t *Tracker) ObserveDraining(address string, now time.Time) {
	e := t.entries[address]
	if e == nil {
		return
	}
	t.counts.Draining++
	e.ownSign, e.ownSignAt = settings.SignLeaving, now
	t.markLeaving(e, now)
	t.confirm(now)
}

// ObserveRefused records that the upstream refused a connection.
func (t *Tracker) ObserveRefused(address string, now time.Time) {
	e := t.entries[address]
	if e == nil {
		return
	}
	t.counts.Refused++
	if !e.leaving() {
		e.ownSign, e.ownSignAt = settings.SignRefused, now
	}
	t.markRefused(e, now)
	t.confirm(now)
}

// ObserveSuccess records that the upstream answered, whatever it answered, and
// did not say that it is draining. It does not end Leaving: requests that were
// under way complete while an upstream drains.
func (t *Tracker) ObserveSuccess(address string, now time.Time) {
	e := t.entries[address]
	if e == nil {
		return
	}
	e.succeededAt = now
	if e.refusals == 0 {
		return
	}
	e.refusals = 0
	if now.Before(e.refusedUntil) {
		e.refusedUntil = now
		e.trustFrom = now
	}
	t.touch(e)
}

// ApplySigns takes what other entry VMs have seen. A sign of leaving acts at
// once. A sign of a refused connection acts unless this VM has reached the
// upstream since, because the fault may lie between that VM and the upstream.
func (t *Tracker) ApplySigns(signs []settings.Sign, now time.Time) {
	for _, s := range signs {
		t.applySign(s, now)
	}
	t.confirm(now)
}

func (t *Tracker) applySign(s settings.Sign, now time.Time) {
	e := t.entries[s.Address]
	age := time.Duration(s.AgeMS) * time.Millisecond
	if e == nil || s.From == t.opts.Self || age > t.opts.SignAgeMax {
		return
	}
	at := now.Add(-age)
	switch s.State {
	case settings.SignLeaving:
		t.applyLeavingSign(e, at)
	case settings.SignRefused:
		t.applyRefusedSign(e, at)
	}
}

// applyLeavingSign ignores a sign from before the upstream's return.
func (t *Tracker) applyLeavingSign(e *entry, at time.Time) {
	if e.leaving() || at.Before(e.returnedAt) {
		return
	}
	t.counts.SignsApplied++
	t.markLeaving(e, at)
}

func (t *Tracker) applyRefusedSign(e *entry, at time.Time) {
	// The same sign comes with each Renew and its age is rounded, so one that
	// falls into the present hold tells nothing new.
	if e.succeededAt.After(at) || !at.After(e.refusedUntil) {
		return
	}
	t.counts.SignsApplied++
	t.markRefused(e, at)
}

func (t *Tracker) markLeaving(e *entry, at time.Time) {
	if e.leaving() {
		return
	}
	e.leftAt = at
	t.touch(e)
}

func (t *Tracker) markRefused(e *entry, at time.Time) {
	hold := t.opts.RefusedHold << min(e.refusals, refusedDoublings)
	hold = min(hold, t.opts.RefusedMax)
	e.refusals++
	e.refusedAt = at
	e.refusedUntil = at.Add(hold)
	// Work returns slowly once the hold is over.
	e.trustFrom = e.refusedUntil
	t.touch(e)
}

// Signs gives what this VM has seen lately, to be sent with Renew. Each sign is
// sent repeatedly for SignLifetime, so that a lost Renew does no harm.
func (t *Tracker) Signs(now time.Time) []settings.Sign {
	var signs []settings.Sign
	for address, e := range t.entries {
		age := now.Sub(e.ownSignAt)
		if e.ownSign == "" || age > t.opts.SignLifetime {
			continue
		}
		signs = append(signs, settings.Sign{
			Address: address,
			State:   e.ownSign,
			From:    t.opts.Self,
			AgeMS:   uint32(max(age, 0).Milliseconds()),
			Region:  e.member.Region,
		})
	}
	sortSigns(signs)
	return signs
}

// Counts gives the counters.
func (t *Tracker) Counts() Counts { return t.counts }

// touch makes the next View publish the entry anew.
func (t *Tracker) touch(e *entry) {
	e.published = nil
	t.dirty[e] = true
}
