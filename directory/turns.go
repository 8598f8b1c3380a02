package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"damaskbridge.example/damaskbridge/placement"
)

const (
	// readInterval allows two readings within the time after which a draining
	// runner must get no new work.
	readInterval = 1200 * time.Millisecond
	// takeoverDelay is the additional age of a list at which the next control VM
	// in the order reads it. Ages reach a control VM through the leader, with up
	// to two exchanges of peerWait.
	takeoverDelay = 1600 * time.Millisecond
	// startTakeoverDelay replaces takeoverDelay while a control VM has no list at
	// all, because callers wait for it.
	startTakeoverDelay = 300 * time.Millisecond
)

// turn is what decides whether a control VM reads the runners of a data centre.
// One control VM reads each, so that the platform's list is read once and not
// once for each control VM. The order is the same everywhere, and a VM takes
// over by itself when the list that it receives grows old: nothing has to be
// agreed upon, and without a leader every VM reads for itself.
type turn struct {
	// rank is the position of this VM in the order for the data centre, 0 first.
	rank int
	// asOf is how recent this VM's list is, zero without a list.
	asOf time.Time
	// triedAt is when this VM last tried to read the list.
	triedAt time.Time
	// startedAt is when this VM started.
	startedAt time.Time
}

// due reports whether the VM has to read the list.
func (t *turn) due(now time.Time) bool {
	if now.Sub(t.triedAt) < readInterval {
		return false
	}
	if t.asOf.IsZero() {
		return now.Sub(t.startedAt) >= time.Duration(t.rank)*startTakeoverDelay
	}
	return now.Sub(t.asOf) >= readInterval+time.Duration(t.rank)*takeoverDelay
}

// rankOf returns the position of self in the order of the members for a data
// centre. A VM that is not a member yet comes last.
func rankOf(self, zone string, members []string) int {
	key := xxhash.Sum64String(zone)
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(placement.RendezvousWeight(key, b), placement.RendezvousWeight(key, a)),
			cmp.Compare(a, b),
		)
	})
	if i := slices.Index(order, self); i >= 0 {
		return i
	}
	return len(order)
}
