package control

import (
	"context"
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wal"
	"damaskbridge.example/damaskbridge/wire"
)

const statusTimeout = time.Second

// joinByPeers makes a replica without a group a member. After the loss of a
// disk a replica cannot know whether a group already exists, so it asks all
// listed voters. If any of them has a group, the replica joins it as a learner.
// Only if all answer and none has a group does the first listed voter bootstrap
// one.
func (r *Replica) joinByPeers() {
	for r.ctx.Err() == nil {
		v := r.published.Load()
		if v.members.Contains(r.id) {
			return
		}
		if !v.members.IsEmpty() {
			// The group knows this VM under another identity or not at all.
			r.requestJoin(r.leaderAddr(v))
		} else {
			r.requestJoinFromVoters()
		}
		if !timer.Sleep(r.ctx, r.opts.ReportInterval) {
			return
		}
	}
}

func (r *Replica) requestJoinFromVoters() {
	uninitialized := raft.Members{}
	voters := 0
	for _, p := range r.opts.Peers {
		if !p.Voter {
			continue
		}
		voters++
		if p.VM == r.opts.Self {
			uninitialized.Voters = append(uninitialized.Voters, r.id)
			continue
		}
		reply := r.requestJoin(p.Addr)
		if reply == nil {
			continue
		}
		if !reply.Uninitialized {
			if reply.Leader != "" && reply.Leader != p.Addr {
				r.requestJoin(reply.Leader)
			}
			return
		}
		uninitialized.Voters = append(uninitialized.Voters, reply.Replica)
	}
	if len(uninitialized.Voters) == voters && uninitialized.Voters[0] == r.id {
		r.post(func() { r.bootstrap(uninitialized) })
	}
}

// requestJoin sends one joinRequest and returns the reply, or nil if there is
// none.
func (r *Replica) requestJoin(addr string) *joinReply {
	if addr == "" {
		return nil
	}
	call := statusRequest{Group: r.opts.Group, Join: &joinRequest{Replica: r.id, Addr: r.opts.Addr}}
	body, err := wire.Encode(&call)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, statusTimeout)
	defer cancel()
	b, err := r.opts.Caller.Call(ctx, addr, transport.MethodStatus, body)
	if err != nil {
		return nil
	}
	reply := &joinReply{}
	if err := wire.Decode(b, reply); err != nil {
		return nil
	}
	if reply.Refused != "" {
		r.opts.Logger.Warn().Str("reason", reply.Refused).Msg("control: the leader has not admitted this replica yet")
	}
	return reply
}

// bootstrap starts a new group with these members.
func (r *Replica) bootstrap(members raft.Members) {
	if r.paused() || !r.node.Members().IsEmpty() {
		return
	}
	data, err := r.opts.Machine.Snapshot()
	if err != nil {
		r.fail(err)
		return
	}
	s := raft.Bootstrap(members)
	s.Snapshot.Data = data
	if r.savedState.Term >= s.HardState.Term {
		// A vote cast before the bootstrap remains valid.
		s.HardState.Term, s.HardState.Vote = r.savedState.Term, r.savedState.Vote
	}
	err = r.log.SaveSnapshot(*s.Snapshot)
	if err == nil {
		err = r.log.Save(wal.Batch{Reset: s.Snapshot, HardState: &s.HardState})
	}
	if wal.IsFull(err) {
		r.opts.Logger.Warn().Err(err).Msg("control: the new group is not started yet")
		return
	}
	if err == nil {
		err = r.startNode(s)
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.savedState, r.applied, r.snapshotIndex = s.HardState, s.Snapshot.Index, s.Snapshot.Index
	r.opts.Logger.Info().Int("voters", len(members.Voters)).Msg("control: started a new group")
}

// handleJoin answers a joinRequest.
func (r *Replica) handleJoin(ctx context.Context, j *joinRequest) (*joinReply, error) {
	r.addresses.update(j.Replica.VM, j.Addr)
	reply := &joinReply{Replica: r.id}
	err := r.Do(ctx, func() {
		members := r.node.Members()
		reply.Uninitialized = members.IsEmpty()
		s := r.node.Status()
		leader, _ := r.knownLeader(&s)
		reply.Leader = r.addresses.addr(leader.VM)
		if r.node.Role() != raft.Leader || members.Contains(j.Replica) {
			return
		}
		err := r.node.ProposeMembersChange(raft.MembersChange{Kind: raft.AddLearner, ID: j.Replica})
		if err != nil && !errors.Is(err, raft.ErrChangePending) {
			reply.Refused = err.Error()
		}
	})
	return reply, err
}

// promoteLearners promotes a caught-up learner that the settings list as a
// voter. It proposes at most one change per call.
func (r *Replica) promoteLearners() {
	if r.node.Role() != raft.Leader {
		return
	}
	for _, id := range r.node.Members().Learners {
		if r.isVoter(id.VM) && r.node.CaughtUp(id) {
			// Fails while another membership change is pending; the next call
			// tries again.
			_ = r.node.ProposeMembersChange(raft.MembersChange{Kind: raft.PromoteLearner, ID: id})
			return
		}
	}
}

func (r *Replica) isVoter(vm ids.VMID) bool {
	for _, p := range r.opts.Peers {
		if p.VM == vm {
			return p.Voter
		}
	}
	return false
}
