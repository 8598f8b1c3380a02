package control

import (
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/raft"
)

// leaderlessTimeout is how long a member waits for a leader before it asks to
// join again. It may have been removed while it was down, and nobody sends
// messages to a removed replica.
const leaderlessTimeout = 1500 * time.Millisecond

// joinBySeeds makes a replica a member where control VMs are named by their
// addresses and only the seeds are configured. A new group is bootstrapped only
// at the first start of the whole system, by the seed with the lowest address,
// once every seed has answered that it has no group.
func (r *Replica) joinBySeeds() {
	var leaderlessSince time.Time
	for timer.Sleep(r.ctx, r.opts.ReportInterval) {
		v := r.published.Load()
		if v.members.Contains(r.id) {
			if !v.leader.IsZero() {
				leaderlessSince = time.Time{}
				continue
			}
			if leaderlessSince.IsZero() {
				leaderlessSince = time.Now()
			}
			if time.Since(leaderlessSince) < leaderlessTimeout {
				continue
			}
		}
		r.requestMembership(v)
	}
}

// requestMembership asks the leader, if one is known, and otherwise the known
// control VMs in turn until one names a leader. It bootstraps a group if that
// is allowed and none of them has one.
func (r *Replica) requestMembership(v *view) {
	if leader := r.leaderAddr(v); leader != "" {
		r.requestJoin(leader)
		return
	}
	seeds := r.opts.Seeds()
	uninitialized := raft.Members{}
	for _, addr := range r.joinAddresses(v, seeds) {
		if addr == r.opts.Addr {
			if v.members.IsEmpty() {
				uninitialized.Voters = append(uninitialized.Voters, r.id)
			}
			continue
		}
		reply := r.requestJoin(addr)
		if reply == nil {
			continue
		}
		if !reply.Uninitialized {
			if reply.Leader != "" && reply.Leader != addr && reply.Leader != r.opts.Addr {
				r.requestJoin(reply.Leader)
			}
			if reply.Leader != "" {
				return
			}
			continue
		}
		uninitialized.Voters = append(uninitialized.Voters, reply.Replica)
	}
	if r.opts.Bootstrap && mayBootstrap(r.id, uninitialized.Voters, seeds) {
		r.post(func() { r.bootstrap(uninitialized) })
	}
}

// joinAddresses returns the addresses to ask: the seeds, then the known
// members.
func (r *Replica) joinAddresses(v *view, seeds []string) []string {
	list := slices.Clone(seeds)
	for _, id := range v.members.All() {
		if addr := r.addresses.addr(id.VM); !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

// mayBootstrap reports whether self bootstraps the group: no seed has a group
// and self has the lowest address among the seeds.
func mayBootstrap(self raft.ReplicaID, uninitialized []raft.ReplicaID, seeds []string) bool {
	if len(uninitialized) == 0 || len(uninitialized) != len(seeds) {
		return false
	}
	lowest := slices.MinFunc(uninitialized, func(a, b raft.ReplicaID) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	for _, b := range uninitialized {
		if !slices.Contains(seeds, string(b.VM)) {
			return false
		}
	}
	return lowest == self
}

// addressOf returns the address of a VM that is named by its address.
func addressOf(vm ids.VMID) string { return string(vm) }
