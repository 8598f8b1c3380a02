package directory

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rosterExpiry is how long an entry VM is listed after its last sign. Two
// watches and two exchanges may be lost within it.
const rosterExpiry = 4 * time.Second

// roster holds entry VMs with the time of their last sign. It is not safe for
// concurrent use.
type roster struct {
	seen map[string]rosterEntry
}

type rosterEntry struct {
	vm EntryVM
	at time.Time
}

func newRoster() *roster { return &roster{seen: map[string]rosterEntry{}} }

func (r *roster) note(now time.Time, vm EntryVM) {
	r.seen[vm.Addr] = rosterEntry{vm: vm, at: now}
}

// list gives the entry VMs that were seen lately, by address.
func (r *roster) list(now time.Time) []EntryVM {
	var list []EntryVM
	for addr, e := range r.seen {
		if now.Sub(e.at) > rosterExpiry {
			delete(r.seen, addr)
			continue
		}
		list = append(list, e.vm)
	}
	slices.SortFunc(list, func(a, b EntryVM) int { return strings.Compare(a.Addr, b.Addr) })
	return list
}

// rosterTag names a list of entry VMs; it is never 0.
func rosterTag(list []EntryVM) uint64 {
	h := xxhash.New()
	for _, e := range list {
		fmt.Fprintln(h, e.Addr, e.Zone, e.Draining)
	}
	return max(h.Sum64(), 1)
}
