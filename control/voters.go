package control

import (
	"time"

	"damaskbridge.example/damaskbridge/raft"
)

const (
	// lostAfter is how long a voter is silent before a caught-up learner takes
	// its place. It is over the time of an election and under the time in
	// which a replaced VM counts as lost.
	lostAfter = 2 * time.Second
	// forgottenAfter is how long a silent learner stays a member.
	forgottenAfter = 30 * time.Second
)

// memberSign is what the leader knows of one member.
type memberSign struct {
	id     raft.ReplicaID
	voter  bool
	silent time.Duration
	// caughtUp says that a learner has synced the committed log.
	caughtUp bool
}

// planVoters gives the next membership change of a group that keeps wanted
// voters, false if none is due. Voters are replaced, never just removed: a
// silent voter leaves only when a learner that is caught up stands ready, so
// that the majority does not shrink with each loss.
func planVoters(signs []memberSign, wanted int) (raft.MembersChange, bool) {
	voters := 0
	var ready, lost, forgotten *memberSign
	for i := range signs {
		s := &signs[i]
		switch {
		case s.voter:
			voters++
			if s.silent > lostAfter && (lost == nil || s.silent > lost.silent) {
				lost = s
			}
		case s.caughtUp && ready == nil:
			ready = s
		case s.silent > forgottenAfter:
			forgotten = s
		}
	}
	switch {
	case ready != nil && voters < wanted:
		return raft.MembersChange{Kind: raft.PromoteLearner, ID: ready.id}, true
	case ready != nil && lost != nil:
		return raft.MembersChange{Kind: raft.RemoveMember, ID: lost.id}, true
	case forgotten != nil:
		return raft.MembersChange{Kind: raft.RemoveMember, ID: forgotten.id}, true
	}
	return raft.MembersChange{}, false
}

// tendVoters keeps the number of voters of a group that is found by seeds. It
// runs on the replica's goroutine.
func (r *Replica) tendVoters() {
	if r.node.Role() != raft.Leader {
		return
	}
	members := r.node.Members()
	signs := make([]memberSign, 0, len(members.Voters)+len(members.Learners))
	for _, id := range members.All() {
		sign := memberSign{id: id, voter: members.IsVoter(id)}
		if id != r.id {
			sign.silent = time.Duration(r.node.Silence(id)) * r.opts.Tick
			sign.caughtUp = !sign.voter && r.node.CaughtUp(id)
		}
		signs = append(signs, sign)
	}
	change, due := planVoters(signs, r.opts.WantedVoters)
	if !due {
		return
	}
	// A change under way is waited for; the next round tries again.
	err := r.node.ProposeMembers(change)
	event := r.opts.Logger.Info()
	if err != nil {
		event = r.opts.Logger.Warn().Err(err)
	}
	event.Str("replica", change.ID.String()).Int("change", int(change.Kind)).Int("voters", len(members.Voters)).Msg("control: membership change")
}
