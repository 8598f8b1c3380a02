package raft

// transfer is the state of a leadership transfer.
type transfer struct {
	target    ReplicaID
	startTick uint64
	// timeoutNowSent is set once MsgTimeoutNow was sent to the target. It stays
	// set for the rest of the term.
	timeoutNowSent bool
}

func (t *transfer) active() bool { return !t.target.IsZero() }

// TransferLeadership starts a transfer of leadership to a voter; the zero id
// selects the one with the longest synced log. Proposals fail with
// ErrTransferring until the transfer has ended.
func (n *Node) TransferLeadership(to ReplicaID) error {
	if err := n.checkCanPropose(); err != nil {
		return err
	}
	if to.IsZero() {
		to = n.mostUpToDateVoter()
	}
	p := n.peers[to]
	if p == nil || !n.log.members().IsVoter(to) {
		return &ChangeError{Change: MembersChange{ID: to}, Reason: "leadership can only be transferred to another voter", Remedy: "specify another voter of the group"}
	}
	n.transfer = transfer{target: to, startTick: n.now}
	n.maybeSendTimeoutNow(to, p)
	return nil
}

// mostUpToDateVoter returns the other voter with the longest synced log, and of
// several the one that has acknowledged the latest message.
func (n *Node) mostUpToDateVoter() ReplicaID {
	var best ReplicaID
	for _, id := range n.log.members().Voters {
		p := n.peers[id]
		if p != nil && (best.IsZero() || p.moreUpToDate(n.peers[best])) {
			best = id
		}
	}
	return best
}

func (p *progress) moreUpToDate(other *progress) bool {
	if p.match != other.match {
		return p.match > other.match
	}
	return p.ackedTick > other.ackedTick
}

// StepDown ends the leadership of a replica that cannot store its log. It returns
// the message that asks another voter to campaign, which may be sent at once: a
// follower has no lease that the campaign could violate. StepDown may be called
// between Ready and Advance, since it changes nothing that is stored.
func (n *Node) StepDown() []Message {
	if n.role != Leader {
		return nil
	}
	to := n.mostUpToDateVoter()
	n.becomeFollower(n.term, ReplicaID{})
	if to.IsZero() {
		return nil
	}
	return []Message{{Type: MsgTimeoutNow, Group: n.cfg.Group, From: n.cfg.ID, To: to, Term: n.term}}
}

// maybeSendTimeoutNow tells the target of a transfer to campaign once it has
// the entire log.
func (n *Node) maybeSendTimeoutNow(id ReplicaID, p *progress) {
	if n.role != Leader || n.transfer.target != id || n.transfer.timeoutNowSent || p.match < n.log.lastIndex() {
		return
	}
	n.transfer.timeoutNowSent = true
	n.send(Message{Type: MsgTimeoutNow, To: id})
}

// tickTransfer ends a transfer that takes longer than the election timeout. It
// reports whether the node has stepped down, which it must do once MsgTimeoutNow
// was sent: it can have no lease for the rest of the term.
func (n *Node) tickTransfer() bool {
	if !n.transfer.active() || n.now-n.transfer.startTick < uint64(n.cfg.ElectionTicks) {
		return false
	}
	if n.transfer.timeoutNowSent {
		n.becomeFollower(n.term, ReplicaID{})
		return true
	}
	n.transfer = transfer{}
	return false
}
