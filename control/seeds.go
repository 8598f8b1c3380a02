package control

import (
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/raft"
)

// leaderlessLimit is how long a member waits for a leader before it asks the
// others for its place again: it may have been removed while it was away, and
// nobody writes to a removed replica.
const leaderlessLimit = 1500 * time.Millisecond

// joinBySeeds finds the group when control VMs are named by their addresses and
// only a few seeds are told. A new group is started only at the first start of
// the whole system, by the lowest of the seeds, once all seeds say that they
// have none.
func (r *Replica) joinBySeeds() {
	var leaderless time.Time
	for pause(r.ctx, r.opts.RelayEvery) {
		v := r.published.Load()
		if v.members.Contains(r.id) {
			if !v.leader.IsZero() {
				leaderless = time.Time{}
				continue
			}
			if leaderless.IsZero() {
				leaderless = time.Now()
			}
			if time.Since(leaderless) < leaderlessLimit {
				continue
			}
		}
		r.askForPlace(v)
	}
}

// askForPlace asks the known control VMs, the leader first, until one has a
// group. It starts one if none has and that is allowed.
func (r *Replica) askForPlace(v *view) {
	if leader := r.leaderAddr(v); leader != "" {
		r.askToJoin(leader)
		return
	}
	seeds := r.opts.Seeds()
	blanks := raft.Members{}
	for _, addr := range r.candidates(v, seeds) {
		if addr == r.opts.Addr {
			if v.members.IsEmpty() {
				blanks.Voters = append(blanks.Voters, r.id)
			}
			continue
		}
		reply := r.askToJoin(addr)
		if reply == nil {
			continue
		}
		if !reply.Blank {
			if reply.Leader != "" && reply.Leader != addr && reply.Leader != r.opts.Addr {
				r.askToJoin(reply.Leader)
			}
			if reply.Leader != "" {
				return
			}
			continue
		}
		blanks.Voters = append(blanks.Voters, reply.Replica)
	}
	if r.opts.Bootstrap && mayStart(r.id, blanks.Voters, seeds) {
		r.post(func() { r.bootstrap(blanks) })
	}
}

// candidates lists the addresses to ask: the seeds, then the members known.
func (r *Replica) candidates(v *view, seeds []string) []string {
	list := slices.Clone(seeds)
	for _, id := range v.members.All() {
		if addr := r.book.addr(id.VM); !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

// mayStart says whether self starts the group: all seeds are blank and self is
// the lowest of them.
func mayStart(self raft.ReplicaID, blanks []raft.ReplicaID, seeds []string) bool {
	if len(blanks) == 0 || len(blanks) != len(seeds) {
		return false
	}
	lowest := slices.MinFunc(blanks, func(a, b raft.ReplicaID) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	for _, b := range blanks {
		if !slices.Contains(seeds, string(b.VM)) {
			return false
		}
	}
	return lowest == self
}

// addressOf is the address of a VM that is named by it.
func addressOf(vm ids.VMID) string { return string(vm) }
