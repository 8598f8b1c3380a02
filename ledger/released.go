package ledger

import "slices"

// maxReleasedPerSession is the number of releases kept for each session. A
// repeated claim that arrives after more than that many releases of its session
// is granted and holds its key until the session ends; it is not dispatched.
const maxReleasedPerSession = 4096

// releasedSeqs holds the sequence numbers of a session's requests that released
// their claims most recently. A claim of such a request that arrives later is a
// repeated message; if granted, it would hold the key although no request
// waits for it.
type releasedSeqs struct {
	set map[uint64]struct{}
	// order lists the sequence numbers, oldest release first.
	order []uint64
}

func (r *releasedSeqs) has(seq uint64) bool {
	_, ok := r.set[seq]
	return ok
}

func (r *releasedSeqs) add(seq uint64) {
	if r.has(seq) {
		return
	}
	if r.set == nil {
		r.set = map[uint64]struct{}{}
	}
	r.set[seq] = struct{}{}
	r.order = append(r.order, seq)
	if len(r.order) <= maxReleasedPerSession {
		return
	}
	delete(r.set, r.order[0])
	r.order = r.order[1:]
}

// list returns a copy of the sequence numbers, oldest release first.
func (r *releasedSeqs) list() []uint64 { return slices.Clone(r.order) }

func (r *releasedSeqs) clear() { *r = releasedSeqs{} }
