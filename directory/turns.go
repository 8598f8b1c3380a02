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
	// minProgress is by how much a list must be newer to count as read again. An age
	// that reaches this VM is too great by the delay of the links, each time by
	// another one.
	minProgress = readInterval / 2
	// takeoverDelay is the additional time without a newer list after which the
	// next control VM in the order reads it. Ages reach a control VM through the
	// leader, with up to two exchanges of peerWait.
	takeoverDelay = 1600 * time.Millisecond
	// startTakeoverDelay replaces takeoverDelay while a control VM has no list at
	// all, because callers wait for it.
	startTakeoverDelay = 300 * time.Millisecond
	// nearFactor and nearSlack define which control VMs are near the platform's
	// list: those whose round-trip time is at most the factor times the shortest
	// one plus the slack.
	nearFactor = 2
	nearSlack  = 5 * time.Millisecond
)

// turn is what decides whether a control VM reads the runners of a data centre.
// One control VM reads each, so that the platform's list is read once and not
// once for each control VM. The order is the same everywhere, and a VM takes
// over by itself when it receives no newer list: nothing has to be agreed upon,
// and without a leader every VM reads for itself.
type turn struct {
	// rank is the position of this VM in the order for the data centre, 0 first.
	rank int
	// hasList is true if this VM has a list, from its own reading or another VM.
	hasList bool
	// progressAt is when this VM last obtained a newer list, or when it started.
	progressAt time.Time
	// triedAt is when this VM last tried to read the list.
	triedAt time.Time
}

// due reports whether the VM has to read the list.
func (t *turn) due(now time.Time) bool {
	if now.Sub(t.triedAt) < readInterval {
		return false
	}
	if t.rank == 0 {
		return true
	}
	wait := time.Duration(t.rank) * startTakeoverDelay
	if t.hasList {
		wait = readInterval + time.Duration(t.rank)*takeoverDelay
	}
	return now.Sub(t.progressAt) >= wait
}

// readingOrder returns the members in the order in which they read a data
// centre. VMs near the platform's list come first, because the list is large
// and the links between regions are paid by volume. roundTrips holds the
// round-trip times to the list of those members that have reported them.
func readingOrder(zone string, members []string, roundTrips map[string]time.Duration) []string {
	shortest := time.Duration(-1)
	for _, m := range members {
		if rtt, ok := roundTrips[m]; ok && (shortest < 0 || rtt < shortest) {
			shortest = rtt
		}
	}
	isFar := func(m string) int {
		rtt, ok := roundTrips[m]
		if ok && rtt <= nearFactor*shortest+nearSlack {
			return 0
		}
		return 1
	}
	key := xxhash.Sum64String(zone)
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(isFar(a), isFar(b)),
			cmp.Compare(placement.RendezvousWeight(key, b), placement.RendezvousWeight(key, a)),
			cmp.Compare(a, b),
		)
	})
	return order
}

// rankIn returns the position of self in an order. A VM that is not in it yet
// comes last.
func rankIn(order []string, self string) int {
	if i := slices.Index(order, self); i >= 0 {
		return i
	}
	return len(order)
}
