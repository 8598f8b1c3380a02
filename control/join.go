package control

import (
	"context"
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wal"
	"damaskbridge.example/damaskbridge/wire"
)

const joinTimeout = time.Second

// join finds a place for a replica without a group. A new disk cannot tell a
// new group from one whose copy it has lost, so it asks all voters: if any has
// a group, it joins as a learner; only if all answer and all are blank does
// the first of them start the group.
func (r *Replica) join() {
	for r.ctx.Err() == nil {
		v := r.published.Load()
		if v.members.Contains(r.id) {
			return
		}
		if !v.members.IsEmpty() {
			// The group has this VM under another identity or not at all.
			r.askToJoin(r.leaderAddr(v))
		} else {
			r.askVoters()
		}
		if !pause(r.ctx, r.opts.RelayEvery) {
			return
		}
	}
}

func (r *Replica) askVoters() {
	blanks := raft.Members{}
	voters := 0
	for _, p := range r.opts.Peers {
		if !p.Voter {
			continue
		}
		voters++
		if p.VM == r.opts.Self {
			blanks.Voters = append(blanks.Voters, r.id)
			continue
		}
		reply := r.askToJoin(p.Addr)
		if reply == nil {
			continue
		}
		if !reply.Blank {
			if reply.Leader != "" && reply.Leader != p.Addr {
				r.askToJoin(reply.Leader)
			}
			return
		}
		blanks.Voters = append(blanks.Voters, reply.Replica)
	}
	if len(blanks.Voters) == voters && blanks.Voters[0] == r.id {
		r.post(func() { r.bootstrap(blanks) })
	}
}

// askToJoin sends one joinRequest and gives the reply, nil if there is none.
func (r *Replica) askToJoin(addr string) *joinReply {
	if addr == "" {
		return nil
	}
	call := statusCall{Group: r.opts.Group, Join: &joinRequest{Replica: r.id, Addr: r.opts.Addr}}
	body, err := wire.Encode(&call)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, joinTimeout)
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
		r.opts.Logger.Warn().Str("reason", reply.Refused).Msg("control: the leader has not taken this replica yet")
	}
	return reply
}

// bootstrap starts the group with these members.
func (r *Replica) bootstrap(members raft.Members) {
	if !r.node.Members().IsEmpty() {
		return
	}
	data, err := r.opts.Machine.Snapshot()
	if err != nil {
		r.fail(err)
		return
	}
	s := raft.Bootstrap(members)
	s.Snapshot.Data = data
	if r.saved.Term >= s.HardState.Term {
		// A vote that was given before still counts.
		s.HardState.Term, s.HardState.Vote = r.saved.Term, r.saved.Vote
	}
	err = r.log.SaveSnapshot(*s.Snapshot)
	if err == nil {
		err = r.log.Save(wal.Batch{Reset: s.Snapshot, HardState: &s.HardState})
	}
	if err == nil {
		err = r.startNode(s)
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.saved, r.applied, r.snapshotAt = s.HardState, s.Snapshot.Index, s.Snapshot.Index
	r.opts.Logger.Info().Int("voters", len(members.Voters)).Msg("control: started a new group")
}

// takeJoin answers a joinRequest.
func (r *Replica) takeJoin(ctx context.Context, j *joinRequest) (*joinReply, error) {
	r.book.learn(j.Replica.VM, j.Addr)
	reply := &joinReply{Replica: r.id}
	err := r.Do(ctx, func() {
		members := r.node.Members()
		reply.Blank = members.IsEmpty()
		reply.Leader = r.book.addr(r.node.Leader().VM)
		if r.node.Role() != raft.Leader || members.Contains(j.Replica) {
			return
		}
		err := r.node.ProposeMembers(raft.MembersChange{Kind: raft.AddLearner, ID: j.Replica})
		if err != nil && !errors.Is(err, raft.ErrChangePending) {
			reply.Refused = err.Error()
		}
	})
	return reply, err
}

// promote makes learners voters that the settings list as such, once they are
// caught up.
func (r *Replica) promote() {
	if r.node.Role() != raft.Leader {
		return
	}
	for _, id := range r.node.Members().Learners {
		if r.isVoter(id.VM) && r.node.CaughtUp(id) {
			// A change under way is waited for; the next round tries again.
			_ = r.node.ProposeMembers(raft.MembersChange{Kind: raft.PromoteLearner, ID: id})
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
