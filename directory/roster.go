package directory

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rosterExpiry is how long an entry VM stays listed after it was last seen. It
// tolerates the loss of two watches and two roster exchanges.
const rosterExpiry = 4 * time.Second

// roster holds entry VMs by address with the time at which each was last seen.
// It is not safe for concurrent use.
type roster struct {
	entries map[string]rosterEntry
}

type rosterEntry struct {
	vm     EntryVM
	seenAt time.Time
}

func newRoster() *roster { return &roster{entries: map[string]rosterEntry{}} }

func (r *roster) touch(now time.Time, vm EntryVM) {
	r.entries[vm.Addr] = rosterEntry{vm: vm, seenAt: now}
}

// list removes expired entry VMs and returns the others, sorted by address.
func (r *roster) list(now time.Time) []EntryVM {
	var list []EntryVM
	for addr, e := range r.entries {
		if now.Sub(e.seenAt) > rosterExpiry {
			delete(r.entries, addr)
			continue
		}
		list = append(list, e.vm)
	}
	slices.SortFunc(list, func(a, b EntryVM) int { return strings.Compare(a.Addr, b.Addr) })
	return list
}

// rosterHash returns a hash that identifies a list of entry VMs. It is never 0.
func rosterHash(list []EntryVM) uint64 {
	h := xxhash.New()
	for _, e := range list {
		fmt.Fprintln(h, e.Addr, e.Zone, e.Draining)
	}
	return max(h.Sum64(), 1)
}
