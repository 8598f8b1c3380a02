package raft

// transfer is a handover of leadership under way.
type transfer struct {
	target ReplicaID
	since  uint64
	// sent is set once the target was told to campaign. It holds for the rest
	// of the term.
	sent bool
}

func (t *transfer) active() bool { return !t.target.IsZero() }

// TransferLeadership hands leadership to a voter; the zero id chooses the one
// with the longest synced log. Proposals are refused until it has ended.
func (n *Node) TransferLeadership(to ReplicaID) error {
	if err := n.mayPropose(); err != nil {
		return err
	}
	if to.IsZero() {
		to = n.bestVoter()
	}
	p := n.peers[to]
	if p == nil || !n.log.members().IsVoter(to) {
		return &ChangeError{Change: MembersChange{ID: to}, Reason: "leadership can only go to another voter", Remedy: "name a voter of the group"}
	}
	n.transfer = transfer{target: to, since: n.now}
	n.continueTransfer(to, p)
	return nil
}

func (n *Node) bestVoter() ReplicaID {
	var best ReplicaID
	for _, id := range n.log.members().Voters {
		p := n.peers[id]
		if p != nil && (best.IsZero() || p.match > n.peers[best].match) {
			best = id
		}
	}
	return best
}

// continueTransfer tells the target to campaign once it has the whole log.
func (n *Node) continueTransfer(from ReplicaID, p *progress) {
	if n.role != Leader || n.transfer.target != from || n.transfer.sent || p.match < n.log.last() {
		return
	}
	n.transfer.sent = true
	n.send(Message{Type: MsgTimeoutNow, To: from})
}

// tickTransfer ends a handover that takes longer than an election. It says
// whether the node has stepped down: once the target was told to campaign, the
// term cannot go on with a lease.
func (n *Node) tickTransfer() bool {
	if !n.transfer.active() || n.now-n.transfer.since < uint64(n.cfg.ElectionTicks) {
		return false
	}
	if n.transfer.sent {
		n.becomeFollower(n.term, ReplicaID{})
		return true
	}
	n.transfer = transfer{}
	return false
}
