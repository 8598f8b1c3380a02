package control

import (
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/raft"
)

const (
	// voterLossTimeout is how long a voter is silent before a caught-up learner
	// replaces it. It exceeds the time between two heartbeats many times over. A
	// voter that comes back later becomes a learner, and loses nothing.
	voterLossTimeout = time.Second
	// learnerRemovalTimeout is how long a silent learner stays a member.
	learnerRemovalTimeout = 30 * time.Second
)

// memberHealth is what the leader knows of one member.
type memberHealth struct {
	id      raft.ReplicaID
	voter   bool
	silence time.Duration
	// leaving is true if the member has asked to hand over its vote.
	leaving bool
	// caughtUp is true if a learner has synced the committed log.
	caughtUp bool
}

// replaceable reports whether a voter is to be replaced by a learner.
func (m *memberHealth) replaceable() bool {
	return m.leaving || m.silence > voterLossTimeout
}

// moreReplaceable reports whether m is to be replaced before other: a voter that
// is leaving first, then the one that has been silent for longest.
func (m *memberHealth) moreReplaceable(other *memberHealth) bool {
	if m.leaving != other.leaving {
		return m.leaving
	}
	return m.silence > other.silence
}

// planVoterChange returns the next membership change for a group that is to
// have target voters, or false if none is due. A voter is replaced only by a
// caught-up learner, so that losses do not shrink the group. The learner is
// promoted before the voter is removed: a voter that is leaving still votes, so
// the group bears as many losses during the replacement as before.
func planVoterChange(members []memberHealth, target int) (raft.MembersChange, bool) {
	voters := 0
	var successor, replaced, forgotten *memberHealth
	for i := range members {
		m := &members[i]
		switch {
		case m.voter:
			voters++
			if m.replaceable() && (replaced == nil || m.moreReplaceable(replaced)) {
				replaced = m
			}
		case m.caughtUp && successor == nil:
			successor = m
		case m.silence > learnerRemovalTimeout:
			forgotten = m
		}
	}
	switch {
	case replaced != nil && voters > target:
		return raft.MembersChange{Kind: raft.RemoveMember, ID: replaced.id}, true
	case successor != nil && (voters < target || voters == target && replaced != nil):
		return raft.MembersChange{Kind: raft.PromoteLearner, ID: successor.id}, true
	case forgotten != nil:
		return raft.MembersChange{Kind: raft.RemoveMember, ID: forgotten.id}, true
	}
	return raft.MembersChange{}, false
}

// reconcileVoters maintains the number of voters of a group discovered through
// seeds. It runs on the replica's goroutine.
func (r *Replica) reconcileVoters() {
	if r.node.Role() != raft.Leader {
		return
	}
	members := r.node.Members()
	change, due := planVoterChange(r.memberHealth(members), r.opts.TargetVoters)
	if !due {
		return
	}
	err := r.node.ProposeMembersChange(change)
	if errors.Is(err, raft.ErrChangePending) {
		return // the next call tries again
	}
	event := r.opts.Logger.Info()
	if err != nil {
		event = r.opts.Logger.Warn().Err(err)
	}
	event.Str("replica", change.ID.String()).Int("change", int(change.Kind)).Int("voters", len(members.Voters)).Bool("leaving", r.isLeaving(change.ID)).Dur("silence", r.silence(change.ID)).Msg("control: membership change")
}

// memberHealth returns what this leader knows of each member.
func (r *Replica) memberHealth(members raft.Members) []memberHealth {
	health := make([]memberHealth, 0, len(members.Voters)+len(members.Learners))
	for _, id := range members.All() {
		h := memberHealth{id: id, voter: members.IsVoter(id)}
		if id != r.id {
			h.silence, h.leaving = r.silence(id), r.isLeaving(id)
			h.caughtUp = !h.voter && r.node.CaughtUp(id)
		}
		health = append(health, h)
	}
	return health
}

// silence returns how long ago this leader sent the latest message that the
// member has acknowledged; 0 for the leader itself.
func (r *Replica) silence(id raft.ReplicaID) time.Duration {
	if id == r.id {
		return 0
	}
	return r.ticksToDuration(r.node.TicksSinceAck(id))
}

func (r *Replica) ticksToDuration(ticks uint64) time.Duration {
	return time.Duration(ticks) * r.opts.Tick
}
