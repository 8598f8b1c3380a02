package raft

import "slices"

func (n *Node) becomeLeader() {
	n.role, n.leader, n.hadLeader = Leader, n.cfg.ID, true
	n.leaderSince, n.heartbeatElapsed, n.uncommittedBytes = n.now, 0, 0
	n.transfer = transfer{}
	n.peers = map[ReplicaID]*progress{}
	n.syncPeers()
	n.termStartIndex = n.log.lastIndex() + 1
	// An empty entry carries no data that could fail to encode.
	_, _ = n.appendNew(EntryEmpty, nil)
	n.broadcastHeartbeats()
}

// syncPeers ensures that there is one progress for each member other than this
// node and none for former members.
func (n *Node) syncPeers() {
	members := n.log.members()
	for _, id := range members.All() {
		if id != n.cfg.ID && n.peers[id] == nil {
			n.peers[id] = &progress{next: n.log.lastIndex() + 1}
		}
	}
	for id := range n.peers {
		if !members.Contains(id) {
			delete(n.peers, id)
		}
	}
}

func (n *Node) tickLeader() {
	// Check-quorum: a leader that does not hear from a majority steps down, so
	// that callers do not wait for it.
	if n.now-max(n.quorumAckTick(), n.leaderSince) >= uint64(n.cfg.ElectionTicks) {
		n.becomeFollower(n.term, ReplicaID{})
		return
	}
	if n.tickTransfer() {
		return
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeats()
	}
}

func (n *Node) broadcastHeartbeats() {
	for _, id := range n.log.members().All() {
		if p := n.peers[id]; p != nil {
			n.sendImmediately(Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, n.log.commit), SentTick: n.now})
		}
	}
}

// sendAppends sends appends to every member until its window is full. It runs
// once per Ready, so that all proposals since the last Ready share an append.
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
		if p.next > n.log.lastIndex() && p.state == replicating {
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
	entries := n.log.slice(p.next, n.log.lastIndex(), n.cfg.MaxMessageBytes)
	n.sendImmediately(Message{
		Type: MsgAppend, To: id, Index: prev, LogTerm: prevTerm,
		Entries: entries, Commit: n.log.commit, SentTick: n.now,
	})
	if p.state == probing {
		p.probePending = true
		return
	}
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
}

// offerSnapshot sends the metadata of the newest snapshot. The receiver's
// caller fetches the data.
func (n *Node) offerSnapshot(id ReplicaID, p *progress) {
	s := n.snapshot
	p.state, p.snapshotOfferTick, p.inflight = snapshotting, n.now, nil
	n.sendImmediately(Message{Type: MsgSnapshot, To: id, Snapshot: &s, SentTick: n.now})
}

func (n *Node) stepLeader(m Message) {
	p := n.peers[m.From]
	if p == nil {
		return
	}
	switch m.Type {
	case MsgAppendReply:
		p.ackedTick = max(p.ackedTick, m.SentTick)
		n.stepAppendReply(m, p)
	case MsgHeartbeatReply:
		p.ackedTick = max(p.ackedTick, m.SentTick)
		n.stepHeartbeatReply(m, p)
	}
}

func (n *Node) stepAppendReply(m Message, p *progress) {
	if m.Reject {
		n.stepAppendRejection(m, p)
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
		// The follower restored an older snapshot, from which the log cannot
		// continue.
		n.offerSnapshot(m.From, p)
	}
	n.maybeCommit()
	n.maybeSendTimeoutNow(m.From, p)
}

func (n *Node) stepAppendRejection(m Message, p *progress) {
	// A rejection at or below match is stale: a later acknowledgement arrived
	// before it.
	if m.Index <= p.match || p.state == snapshotting {
		return
	}
	if p.state == probing && m.Index != p.next-1 {
		return
	}
	p.probe(min(m.Hint+1, m.Index))
}

// stepHeartbeatReply resends messages that may have been lost.
func (n *Node) stepHeartbeatReply(m Message, p *progress) {
	switch p.state {
	case probing:
		p.probePending = false
	case snapshotting:
		if n.now >= p.snapshotOfferTick+uint64(n.cfg.ElectionTicks) {
			n.offerSnapshot(m.From, p)
		}
	case replicating:
		if len(p.inflight) >= n.cfg.MaxInflight {
			p.inflight = p.inflight[1:]
		}
		if p.match < n.log.lastIndex() && p.next > n.log.lastIndex() {
			// An empty append detects whether the previous appends arrived.
			n.sendAppend(m.From, p)
		}
	}
	n.maybeSendTimeoutNow(m.From, p)
}

// acknowledgeSelf counts this node's own synced entries.
func (n *Node) acknowledgeSelf() { n.maybeCommit() }

// maybeCommit advances the commit index to the highest entry of the current
// term that a majority has synced. Entries of older terms are committed only
// together with such an entry (Raft paper, section 5.4.2). A leader that is no
// voter any more steps down once the change is committed.
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
		n.uncommittedBytes = max(0, n.uncommittedBytes-len(e.Data))
	}
	n.log.commit = index
}
