package raft

func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	if term > n.term {
		n.term, n.vote = term, ReplicaID{}
	}
	if n.role == Leader {
		// A leader withholds votes only in favour of itself, so it may vote
		// again as soon as it steps down.
		n.ticksSinceLeader = n.cfg.ElectionTicks
	}
	n.role, n.leader = Follower, leader
	n.hadLeader = n.hadLeader || !leader.IsZero()
	n.votes, n.peers = nil, nil
	n.resetElectionTimeout()
}

// campaign requests votes as a PreCandidate or a Candidate. A pre-vote changes
// no term, so a replica that returns from a partition does not depose a working
// leader. transferred is set if the leader asked this replica to campaign.
func (n *Node) campaign(role Role, transferred bool) {
	n.role, n.leader = role, ReplicaID{}
	n.votes = map[ReplicaID]bool{}
	n.resetElectionTimeout()
	m := Message{
		Type: MsgPreVote, Term: n.term + 1, Transfer: transferred,
		Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
	}
	if role == Candidate {
		n.term++
		n.vote = n.cfg.ID
		m.Type, m.Term = MsgVote, n.term
	}
	for _, id := range n.log.members().Voters {
		if id != n.cfg.ID {
			m.To = id
			n.send(m)
		}
	}
	if role == PreCandidate {
		n.recordVote(n.cfg.ID, true)
	}
	// A candidate's own vote is counted by Advance, after it is synced.
}

// recordVote records a vote and changes the role once a majority has granted
// or rejected the request.
func (n *Node) recordVote(from ReplicaID, granted bool) {
	n.votes[from] = granted
	members := n.log.members()
	yes, no := 0, 0
	for _, id := range members.Voters {
		if vote, ok := n.votes[id]; ok && vote {
			yes++
		} else if ok {
			no++
		}
	}
	switch {
	case yes >= members.quorum() && n.role == PreCandidate:
		n.campaign(Candidate, false)
	case yes >= members.quorum():
		n.becomeLeader()
	case no >= members.quorum():
		n.becomeFollower(n.term, ReplicaID{})
	}
}

// mustWithholdVote reports whether this replica must not vote for another
// candidate because it leads or has heard from a leader within the election
// timeout. The leader's lease relies on it.
func (n *Node) mustWithholdVote() bool {
	if n.role == Leader {
		return true
	}
	return n.ticksSinceLeader < n.cfg.ElectionTicks
}

func (n *Node) stepVote(m Message) {
	reply := Message{Type: MsgVoteReply, To: m.From}
	canVote := n.vote.IsZero() || n.vote == m.From
	if !canVote || !n.leader.IsZero() && n.leader != m.From || !n.log.upToDate(m.Index, m.LogTerm) {
		reply.Reject = true
		n.send(reply)
		return
	}
	n.vote = m.From
	n.resetElectionTimeout()
	n.send(reply)
}

func (n *Node) stepPreVote(m Message) {
	grant := m.Term > n.term && !n.mustWithholdVote() && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = n.term
	} else if !n.hadLeader {
		// The sender campaigns next. Without a pause here the votes would split.
		n.resetElectionTimeout()
	}
	n.send(reply)
}
