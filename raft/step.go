package raft

// Step processes one message. It returns a *StaleIdentityError if the sender
// uses an identity that was replaced; other messages that do not apply are
// dropped.
func (n *Node) Step(m Message) error {
	if m.Group != n.cfg.Group || m.To != n.cfg.ID {
		return nil
	}
	if err := n.checkIdentity(m.From); err != nil {
		return err
	}
	if n.ignoresVoteRequest(m) {
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

// checkIdentity rejects a replica whose VM has joined under a newer
// incarnation. Entries that the old incarnation acknowledged may be lost.
func (n *Node) checkIdentity(from ReplicaID) error {
	known, ok := n.log.members().MemberOn(from.VM)
	if ok && known.Incarnation > from.Incarnation {
		return &StaleIdentityError{ID: from, Current: known}
	}
	return nil
}

// ignoresVoteRequest reports whether m is a vote request to be dropped without
// adopting its term, because this replica has recently heard from a leader that
// did not initiate the request.
func (n *Node) ignoresVoteRequest(m Message) bool {
	return m.Type == MsgVote && m.Term > n.term && !m.Transfer && n.mustWithholdVote()
}

func (n *Node) stepHigherTerm(m Message) {
	switch m.Type {
	case MsgPreVote:
	case MsgPreVoteReply:
		// A granted pre-vote carries the requested term, which nobody has
		// entered yet.
		if m.Reject {
			n.becomeFollower(m.Term, ReplicaID{})
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, ReplicaID{})
	}
}

// stepLowerTerm informs a leader or pre-candidate of an older term about the
// current one.
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
	n.electionElapsed, n.ticksSinceLeader = 0, 0
	switch m.Type {
	case MsgAppend:
		n.stepAppend(m)
	case MsgHeartbeat:
		n.advanceCommit(m.Commit)
		n.send(Message{Type: MsgHeartbeatReply, To: m.From, SentTick: m.SentTick})
	case MsgSnapshot:
		n.stepSnapshot(m)
	}
}

// advanceCommit adopts the leader's commit index, up to the end of this log.
// The leader sends no index beyond what it knows to match.
func (n *Node) advanceCommit(commit uint64) {
	n.log.commit = max(n.log.commit, min(commit, n.log.lastIndex()))
}

func (n *Node) stepAppend(m Message) {
	reply := Message{Type: MsgAppendReply, To: m.From, SentTick: m.SentTick}
	if m.Index < n.log.commit {
		// Committed entries always match.
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
	matched, ok := n.appendEntries(m.Index, m.Entries)
	if !ok {
		return
	}
	n.advanceCommit(min(m.Commit, matched))
	reply.Index = matched
	n.send(reply)
}

// appendEntries appends the entries that are new, truncates conflicting ones and
// returns the last matching index. ok is false if an entry cannot be decoded or
// leaves a gap; the caller then acknowledges nothing.
func (n *Node) appendEntries(prev uint64, entries []Entry) (matched uint64, ok bool) {
	matched = prev
	for _, e := range entries {
		if e.Index != matched+1 {
			return 0, false
		}
		if term, exists := n.log.term(e.Index); exists && term != e.Term {
			n.log.truncate(e.Index)
		}
		if e.Index > n.log.lastIndex() {
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
		n.send(Message{Type: MsgAppendReply, To: m.From, Index: n.log.commit, SentTick: m.SentTick})
		return
	}
	if term, ok := n.log.term(s.Index); ok && term == s.Term {
		// The log already holds the snapshot's last entry. It is kept, because
		// the entries after it may already be acknowledged.
		n.advanceCommit(s.Index)
		n.send(Message{Type: MsgAppendReply, To: m.From, Index: s.Index, SentTick: m.SentTick})
		return
	}
	if s.Data == nil {
		// The caller fetches the data. The offer only shows that the leader is
		// alive.
		return
	}
	n.log.reset(s)
	n.receivedSnapshot = s
	n.snapshot = Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	n.send(Message{Type: MsgAppendReply, To: m.From, Index: s.Index, SentTick: m.SentTick})
}

// NeedsSnapshotData reports whether the caller must fetch the data of an offered
// snapshot.
func (n *Node) NeedsSnapshotData(s *Snapshot) bool {
	if s == nil || s.Index <= n.log.commit {
		return false
	}
	term, ok := n.log.term(s.Index)
	return !ok || term != s.Term
}
