package raft

import "slices"

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.leaderSince, n.beat, n.pending = n.now, 0, 0
	n.transfer = transfer{}
	n.peers = map[ReplicaID]*progress{}
	n.trackMembers()
	n.termStart = n.log.last() + 1
	// An empty entry carries no data that could fail to encode.
	_, _ = n.appendOwn(EntryEmpty, nil)
	n.heartbeats()
}

// trackMembers keeps one progress for each member other than this node.
func (n *Node) trackMembers() {
	members := n.log.members()
	for _, id := range members.All() {
		if id != n.cfg.ID && n.peers[id] == nil {
			n.peers[id] = &progress{next: n.log.last() + 1}
		}
	}
	for id := range n.peers {
		if !members.Contains(id) {
			delete(n.peers, id)
		}
	}
}

func (n *Node) tickLeader() {
	// Check-quorum: a leader that no majority answers gives way, so that
	// callers do not wait for it.
	if n.now-max(n.quorumRound(), n.leaderSince) >= uint64(n.cfg.ElectionTicks) {
		n.becomeFollower(n.term, ReplicaID{})
		return
	}
	if n.tickTransfer() {
		return
	}
	n.beat++
	if n.beat >= n.cfg.HeartbeatTicks {
		n.beat = 0
		n.heartbeats()
	}
}

func (n *Node) heartbeats() {
	for _, id := range n.log.members().All() {
		if p := n.peers[id]; p != nil {
			n.sendEarly(Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, n.log.commit), Round: n.now})
		}
	}
}

// sendAppends fills the window of every member. It runs once for each Ready,
// so that all proposals since the last one share an append.
func (n *Node) sendAppends() {
	for _, id := range n.log.members().All() {
		if p := n.peers[id]; p != nil {
			n.sendAppendsTo(id, p)
		}
	}
}

func (n *Node) sendAppendsTo(id ReplicaID, p *progress) {
	for !p.windowFull(n.cfg.MaxInflight) {
		if p.next <= n.log.base {
			n.offerSnapshot(id, p)
			return
		}
		if p.next > n.log.last() && p.state == replicating {
			return
		}
		n.sendAppend(id, p)
	}
}

func (n *Node) sendAppend(id ReplicaID, p *progress) {
	prev := p.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.offerSnapshot(id, p)
		return
	}
	entries := n.log.slice(p.next, n.log.last(), n.cfg.MaxMessageBytes)
	n.sendEarly(Message{
		Type: MsgAppend, To: id, Index: prev, LogTerm: prevTerm,
		Entries: entries, Commit: n.log.commit, Round: n.now,
	})
	if p.state == probing {
		p.paused = true
		return
	}
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (n *Node) offerSnapshot(id ReplicaID, p *progress) {
	s := n.snapshot
	p.state, p.offered, p.inflight = snapshotting, n.now, nil
	n.sendEarly(Message{Type: MsgSnapshot, To: id, Snapshot: &s, Round: n.now})
}

func (n *Node) stepLeader(m Message) {
	p := n.peers[m.From]
	if p == nil {
		return
	}
	switch m.Type {
	case MsgAppendReply:
		p.ackRound = max(p.ackRound, m.Round)
		n.stepAppendReply(m, p)
	case MsgHeartbeatReply:
		p.ackRound = max(p.ackRound, m.Round)
		n.stepHeartbeatReply(m, p)
	}
}

func (n *Node) stepAppendReply(m Message, p *progress) {
	if m.Reject {
		n.stepRefusal(m, p)
		return
	}
	if !p.acknowledge(m.Index) && p.state == replicating {
		return
	}
	if p.match >= n.log.base {
		if p.state != replicating {
			p.state, p.inflight, p.next = replicating, nil, p.match+1
		}
	} else if p.state == snapshotting {
		// The follower has restored an older snapshot than the newest.
		n.offerSnapshot(m.From, p)
	}
	n.maybeCommit()
	n.continueTransfer(m.From, p)
}

func (n *Node) stepRefusal(m Message, p *progress) {
	// A refusal below the match was overtaken by a later acknowledgement.
	if m.Index <= p.match || p.state == snapshotting {
		return
	}
	if p.state == probing && m.Index != p.next-1 {
		return
	}
	p.probe(min(m.Hint+1, m.Index))
}

// stepHeartbeatReply repeats what a lost message may have left undone.
func (n *Node) stepHeartbeatReply(m Message, p *progress) {
	switch p.state {
	case probing:
		p.paused = false
	case snapshotting:
		if n.now >= p.offered+uint64(n.cfg.ElectionTicks) {
			n.offerSnapshot(m.From, p)
		}
	case replicating:
		if len(p.inflight) >= n.cfg.MaxInflight {
			p.inflight = p.inflight[1:]
		}
		if p.match < n.log.last() && p.next > n.log.last() {
			// An empty append finds out whether the last one arrived.
			n.sendAppend(m.From, p)
		}
	}
	n.continueTransfer(m.From, p)
}

// acknowledgeSelf counts this node's own synced log.
func (n *Node) acknowledgeSelf() { n.maybeCommit() }

// maybeCommit commits what a majority has synced. Only an entry of this term
// is counted; it commits those before it.
func (n *Node) maybeCommit() {
	members := n.log.members()
	matches := make([]uint64, 0, len(members.Voters))
	for _, id := range members.Voters {
		switch p := n.peers[id]; {
		case id == n.cfg.ID:
			matches = append(matches, n.log.stable)
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-members.quorum()]
	term, _ := n.log.term(index)
	if index <= n.log.commit || term != n.term {
		return
	}
	n.commitTo(index)
	if !members.IsVoter(n.cfg.ID) && !n.log.changePending() {
		n.becomeFollower(n.term, ReplicaID{})
	}
}

func (n *Node) commitTo(index uint64) {
	for _, e := range n.log.slice(n.log.commit+1, index, int(^uint(0)>>1)) {
		n.pending = max(0, n.pending-len(e.Data))
	}
	n.log.commit = index
}
