package raft

func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	if term > n.term {
		n.term, n.vote = term, ReplicaID{}
	}
	if n.role == Leader {
		// A leader's promise was to itself and ends with its leadership.
		n.sinceLeader = n.cfg.ElectionTicks
	}
	n.role, n.leader = Follower, leader
	n.votes, n.peers = nil, nil
	n.resetTimeout()
}

// campaign asks for votes. A pre-candidate asks whether it would get them and
// changes nothing, so a replica that was cut off disturbs no one.
func (n *Node) campaign(as Role, transferred bool) {
	n.role, n.leader = as, ReplicaID{}
	n.votes = map[ReplicaID]bool{}
	n.resetTimeout()
	m := Message{
		Type: MsgPreVote, Term: n.term + 1, Transfer: transferred,
		Index: n.log.last(), LogTerm: n.log.lastTerm(),
	}
	if as == Candidate {
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
	if as == PreCandidate {
		n.recordVote(n.cfg.ID, true)
	}
	// A candidate's own vote is counted by Advance, when it is synced.
}

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

// promised says whether this replica may not vote for another leader yet.
func (n *Node) promised() bool {
	if n.role == Leader {
		return true
	}
	return n.sinceLeader < n.cfg.ElectionTicks
}

func (n *Node) stepVote(m Message) {
	reply := Message{Type: MsgVoteReply, To: m.From}
	free := n.vote.IsZero() || n.vote == m.From
	if !free || !n.leader.IsZero() && n.leader != m.From || !n.log.upToDate(m.Index, m.LogTerm) {
		reply.Reject = true
		n.send(reply)
		return
	}
	n.vote = m.From
	n.resetTimeout()
	n.send(reply)
}

func (n *Node) stepPreVote(m Message) {
	grant := m.Term > n.term && !n.promised() && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = n.term
	}
	n.send(reply)
}
