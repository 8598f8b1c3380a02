package warmup

import "time"

const (
	// Term is how long a grant holds from the moment at which a majority confirmed
	// the leader who gave it. It covers the spread of that confirmation to the
	// holder, which takes up to two seconds.
	Term = 4 * time.Second
	// clockMargin allows for clocks that run at different speeds.
	clockMargin = 100 * time.Millisecond
)

// Grant allows one entry VM to send requests to a process of a runner.
type Grant struct {
	Process string `cbor:"1,keyasint"`
	// VM is the address of the entry VM.
	VM string `cbor:"2,keyasint"`
}

// Allocator gives grants on the leading control VM. It is not safe for concurrent
// use.
type Allocator struct {
	// leadsSince is when this VM began to lead. Grants of its predecessor may hold
	// for one term after that.
	leadsSince time.Time
	held       map[string]*holding
}

// holding is a grant that may hold somewhere.
type holding struct {
	vm string
	// confirmedAt is that of the last list of grants that contained it.
	confirmedAt time.Time
}

// NewAllocator returns the allocator of a VM that leads since a time.
func NewAllocator(leadsSince time.Time) *Allocator {
	return &Allocator{leadsSince: leadsSince, held: map[string]*holding{}}
}

// Assign returns the grants for processes that warm up. A majority confirmed this
// VM as the leader at confirmedAt. choose returns the entry VM for a process, "" if
// there is none, and isPresent whether an entry VM may go on to hold grants.
func (a *Allocator) Assign(confirmedAt time.Time, processes []string, choose func(process string) string, isPresent func(vm string) bool) []Grant {
	for process, h := range a.held {
		if confirmedAt.Sub(h.confirmedAt) > Term+clockMargin {
			delete(a.held, process)
		}
	}
	if confirmedAt.Sub(a.leadsSince) <= Term+clockMargin {
		return nil
	}
	var grants []Grant
	for _, process := range processes {
		h := a.held[process]
		if h == nil {
			h = &holding{vm: choose(process)}
		}
		if h.vm == "" || !isPresent(h.vm) {
			continue
		}
		h.confirmedAt = confirmedAt
		a.held[process] = h
		grants = append(grants, Grant{Process: process, VM: h.vm})
	}
	return grants
}
