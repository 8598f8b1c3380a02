package control

import (
	"time"

	"damaskbridge.example/damaskbridge/raft"
)

const (
	// voterLossTimeout is how long a voter is silent before a caught-up learner
	// replaces it. It exceeds the duration of an election and is under the time
	// in which a replaced VM counts as lost.
	voterLossTimeout = 2 * time.Second
	// learnerRemovalTimeout is how long a silent learner stays a member.
	learnerRemovalTimeout = 30 * time.Second
)

// memberHealth is what the leader knows of one member.
type memberHealth struct {
	id      raft.ReplicaID
	voter   bool
	silence time.Duration
	// caughtUp is true if a learner has synced the committed log.
	caughtUp bool
}

// planVoterChange returns the next membership change for a group that is to
// have target voters, or false if none is due. A silent voter is removed only
// when a caught-up learner is ready to replace it, so that losses do not shrink
// the group.
func planVoterChange(members []memberHealth, target int) (raft.MembersChange, bool) {
	voters := 0
	var successor, lost, forgotten *memberHealth
	for i := range members {
		m := &members[i]
		switch {
		case m.voter:
			voters++
			if m.silence > voterLossTimeout && (lost == nil || m.silence > lost.silence) {
				lost = m
			}
		case m.caughtUp && successor == nil:
			successor = m
		case m.silence > learnerRemovalTimeout:
			forgotten = m
		}
	}
	switch {
	case successor != nil && voters < target:
		return raft.MembersChange{Kind: raft.PromoteLearner, ID: successor.id}, true
	case successor != nil && lost != nil:
		return raft.MembersChange{Kind: raft.RemoveMember, ID: lost.id}, true
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
	health := make([]memberHealth, 0, len(members.Voters)+len(members.Learners))
	for _, id := range members.All() {
		h := memberHealth{id: id, voter: members.IsVoter(id)}
		if id != r.id {
			h.silence = time.Duration(r.node.TicksSinceAck(id)) * r.opts.Tick
			h.caughtUp = !h.voter && r.node.CaughtUp(id)
		}
		health = append(health, h)
	}
	change, due := planVoterChange(health, r.opts.TargetVoters)
	if !due {
		return
	}
	// Fails while another membership change is pending; the next call tries
	// again.
	err := r.node.ProposeMembersChange(change)
	event := r.opts.Logger.Info()
	if err != nil {
		event = r.opts.Logger.Warn().Err(err)
	}
	event.Str("replica", change.ID.String()).Int("change", int(change.Kind)).Int("voters", len(members.Voters)).Msg("control: membership change")
}
