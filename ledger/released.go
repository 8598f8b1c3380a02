package ledger

import "slices"

// releasedMax is the number of releases that are remembered for each session.
// A claim that arrives later than that many releases of its session would hold
// its key until the session ends; it would not be dispatched.
const releasedMax = 4096

// released holds the newest sequence numbers of a session's requests that gave
// up their claims. A claim of theirs that arrives late is a repeated message
// and would hold the key for nobody.
type released struct {
	set map[uint64]struct{}
	// order lists the numbers, oldest release first.
	order []uint64
}

func (r *released) has(seq uint64) bool {
	_, ok := r.set[seq]
	return ok
}

func (r *released) add(seq uint64) {
	if r.has(seq) {
		return
	}
	if r.set == nil {
		r.set = map[uint64]struct{}{}
	}
	r.set[seq] = struct{}{}
	r.order = append(r.order, seq)
	if len(r.order) <= releasedMax {
		return
	}
	delete(r.set, r.order[0])
	r.order = r.order[1:]
}

// list gives a copy of the numbers, oldest release first.
func (r *released) list() []uint64 { return slices.Clone(r.order) }

func (r *released) clear() { *r = released{} }
