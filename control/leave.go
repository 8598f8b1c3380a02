package control

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

const (
	// leavePollInterval is the pause between two requests of a replica that hands
	// over its vote. Each request lets the leader make the next change.
	leavePollInterval = 50 * time.Millisecond
	// leavingTTL is how long the leader remembers that a replica is leaving. A
	// replica that starts again in the meantime keeps its vote.
	leavingTTL = voterLossTimeout
)

// leaveRequest asks the leader to give the vote of a stopping replica to a
// learner.
type leaveRequest struct {
	Replica raft.ReplicaID `cbor:"1,keyasint"`
}

// leaveReply is the response to a leaveRequest.
type leaveReply struct {
	// Pending is true while the replica should keep running and ask again: it is
	// still needed as a voter until a learner has taken its place. It is false if
	// no learner can.
	Pending bool `cbor:"1,keyasint"`
}

// handOverVote waits until a learner has taken over this replica's vote, no
// learner can, or ctx ends. A group whose voter stops without it bears one loss
// less until the silence is noticed.
func (r *Replica) handOverVote(ctx context.Context) {
	if r.opts.Seeds == nil {
		return // the settings name the voters
	}
	for r.requestLeave(ctx) {
		if !timer.Sleep(ctx, leavePollInterval) {
			return
		}
	}
}

// requestLeave sends one leaveRequest to the leader and reports whether to send
// another.
func (r *Replica) requestLeave(ctx context.Context) (again bool) {
	v := r.waitLeader(ctx)
	if v.leader == r.id || !v.members.IsVoter(r.id) {
		return false
	}
	addr := r.leaderAddr(v)
	if addr == "" {
		return ctx.Err() == nil
	}
	call := statusRequest{Group: r.opts.Group, Leave: &leaveRequest{Replica: r.id}}
	body, err := wire.Encode(&call)
	if err != nil {
		return false
	}
	ctx, cancel := r.leaderContext(ctx, v.leader)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, statusTimeout)
	defer cancelTimeout()
	b, err := r.opts.Caller.Call(ctx, addr, transport.MethodStatus, body)
	if err != nil {
		return true
	}
	var reply leaveReply
	if err := wire.Decode(b, &reply); err != nil {
		r.opts.Logger.Warn().Err(err).Msg("control: the leader does not know how to take over a vote")
		return false
	}
	return reply.Pending
}

// handleLeave answers a leaveRequest.
func (r *Replica) handleLeave(ctx context.Context, req *leaveRequest) (*leaveReply, error) {
	reply := &leaveReply{}
	err := r.Do(ctx, func() {
		if r.node.Role() != raft.Leader {
			reply.Pending = true
			return
		}
		r.leaving[req.Replica] = r.node.Now()
		r.reconcileVoters()
		reply.Pending = r.handOverPending(req.Replica)
	})
	return reply, err
}

// handOverPending reports whether a leaving replica is still needed: the group
// has a learner that may yet take its place, or the change is not committed.
func (r *Replica) handOverPending(id raft.ReplicaID) bool {
	if r.node.MembersChangePending() {
		return true
	}
	members := r.node.Members()
	if !members.IsVoter(id) {
		return false
	}
	for _, learner := range members.Learners {
		if r.silence(learner) <= voterLossTimeout {
			return true
		}
	}
	return len(members.Voters) > r.opts.TargetVoters
}

// isLeaving reports whether a replica has asked recently to hand over its vote.
func (r *Replica) isLeaving(id raft.ReplicaID) bool {
	asked, ok := r.leaving[id]
	if !ok {
		return false
	}
	if r.ticksToDuration(r.node.Now()-asked) > leavingTTL {
		delete(r.leaving, id)
		return false
	}
	return true
}
