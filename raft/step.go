package raft

// Step takes one message. It returns a *StaleIdentityError if the sender uses
// an identity that was replaced; other messages that do not apply are dropped.
func (n *Node) Step(m Message) error {
	if m.Group != n.cfg.Group || m.To != n.cfg.ID {
		return nil
	}
	if err := n.checkIdentity(m.From); err != nil {
		return err
	}
	if n.ignoresVote(m) {
		return nil
	}
	switch {
	case m.Term > n.term:
		n.stepHigherTerm(m)
	case m.Term < n.term:
		n.stepLowerTerm(m)
		return nil
	}
	n.stepSameTerm(m)
	return nil
}

// checkIdentity refuses a replica whose VM has come back under another
// incarnation. What the old one has acknowledged may be lost.
func (n *Node) checkIdentity(from ReplicaID) error {
	known, ok := n.log.members().Of(from.VM)
	if ok && known.Incarnation > from.Incarnation {
		return &StaleIdentityError{ID: from, Known: known}
	}
	return nil
}

// ignoresVote keeps the promise to the present leader: a vote that it has not
// asked for is dropped without taking its term.
func (n *Node) ignoresVote(m Message) bool {
	return m.Type == MsgVote && m.Term > n.term && !m.Transfer && n.promised()
}

func (n *Node) stepHigherTerm(m Message) {
	switch m.Type {
	case MsgPreVote:
	case MsgPreVoteReply:
		// A granted pre-vote repeats the term that was asked for.
		if m.Reject {
			n.becomeFollower(m.Term, ReplicaID{})
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, ReplicaID{})
	}
}

// stepLowerTerm tells a leader of an older term about the newer one.
func (n *Node) stepLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) stepSameTerm(m Message) {
	switch m.Type {
	case MsgPreVote:
		n.stepPreVote(m)
	case MsgVote:
		n.stepVote(m)
	case MsgPreVoteReply:
		if n.role == PreCandidate && (m.Reject || m.Term == n.term+1) {
			n.recordVote(m.From, !m.Reject)
		}
	case MsgVoteReply:
		if n.role == Candidate {
			n.recordVote(m.From, !m.Reject)
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.stepFromLeader(m)
	case MsgTimeoutNow:
		if n.role == Follower && n.log.members().IsVoter(n.cfg.ID) {
			n.campaign(Candidate, true)
		}
	default:
		if n.role == Leader {
			n.stepLeader(m)
		}
	}
}

func (n *Node) stepFromLeader(m Message) {
	if n.role == Leader {
		return
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.elapsed, n.sinceLeader = 0, 0
	switch m.Type {
	case MsgAppend:
		n.stepAppend(m)
	case MsgHeartbeat:
		n.followCommit(m.Commit)
		n.send(Message{Type: MsgHeartbeatReply, To: m.From, Round: m.Round})
	case MsgSnapshot:
		n.stepSnapshot(m)
	}
}

// followCommit takes the leader's commit index. It never exceeds what the
// leader knows to match, and an index beyond this log is not taken.
func (n *Node) followCommit(commit uint64) {
	n.log.commit = max(n.log.commit, min(commit, n.log.last()))
}

func (n *Node) stepAppend(m Message) {
	reply := Message{Type: MsgAppendReply, To: m.From, Round: m.Round}
	if m.Index < n.log.commit {
		// What is committed matches by itself.
		reply.Index = n.log.commit
		n.send(reply)
		return
	}
	if term, ok := n.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject, reply.Index = true, m.Index
		reply.Hint = n.log.conflictHint(m.Index)
		n.send(reply)
		return
	}
	matched, ok := n.appendFrom(m.Index, m.Entries)
	if !ok {
		return
	}
	n.followCommit(min(m.Commit, matched))
	reply.Index = matched
	n.send(reply)
}

// appendFrom adds the entries that are new and gives the last matching index.
// It fails on an entry that cannot be read; nothing is acknowledged then.
func (n *Node) appendFrom(prev uint64, entries []Entry) (matched uint64, ok bool) {
	matched = prev
	for _, e := range entries {
		if e.Index != matched+1 {
			return 0, false
		}
		if term, known := n.log.term(e.Index); known && term != e.Term {
			n.log.truncate(e.Index)
		}
		if e.Index > n.log.last() {
			if err := n.log.append(e); err != nil {
				return 0, false
			}
		}
		matched = e.Index
	}
	return matched, true
}

func (n *Node) stepSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index <= n.log.commit {
		n.send(Message{Type: MsgAppendReply, To: m.From, Index: n.log.commit, Round: m.Round})
		return
	}
	if term, ok := n.log.term(s.Index); ok && term == s.Term {
		// The log holds the snapshot's last entry. It is kept, because what
		// follows may be acknowledged already.
		n.followCommit(s.Index)
		n.send(Message{Type: MsgAppendReply, To: m.From, Index: s.Index, Round: m.Round})
		return
	}
	if s.Data == nil {
		// The caller fetches the data; the offer itself shows a live leader.
		return
	}
	n.log.reset(s)
	n.restored = s
	n.snapshot = Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	n.send(Message{Type: MsgAppendReply, To: m.From, Index: s.Index, Round: m.Round})
}

// NeedsSnapshot says whether the data of an offered snapshot is to be fetched.
func (n *Node) NeedsSnapshot(s *Snapshot) bool {
	if s == nil || s.Index <= n.log.commit {
		return false
	}
	term, ok := n.log.term(s.Index)
	return !ok || term != s.Term
}
