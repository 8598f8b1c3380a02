package raft

import "slices"

// quorumAckTick returns the latest tick such that a majority, including this
// leader, has acknowledged a message sent at or after it; 0 if there is none.
func (n *Node) quorumAckTick() uint64 {
	members := n.log.members()
	ticks := make([]uint64, 0, len(members.Voters))
	for _, id := range members.Voters {
		switch p := n.peers[id]; {
		case id == n.cfg.ID:
			ticks = append(ticks, n.now)
		case p != nil:
			ticks = append(ticks, p.ackedTick)
		default:
			ticks = append(ticks, 0)
		}
	}
	slices.Sort(ticks)
	return ticks[len(ticks)-members.quorum()]
}

// LeaseStart returns the tick at which the current lease starts: the send time
// of the latest messages that a majority has acknowledged. ok is false if this
// node is not a leader with a valid lease. At that tick no other leader had been
// elected, and no other can commit an entry before the lease ends.
func (n *Node) LeaseStart() (start uint64, ok bool) {
	if n.role != Leader || n.log.commit < n.termStartIndex {
		return 0, false
	}
	// The target of a transfer may be elected although the others have heard
	// from this leader, even if MsgTimeoutNow reaches it late. There is
	// therefore no lease for the rest of this term.
	if n.transfer.timeoutNowSent {
		return 0, false
	}
	start = n.quorumAckTick()
	return start, start > 0 && n.now < start+n.cfg.leaseTicks()
}

// ReadIndex returns the index that must be applied before a linearizable read.
// ok is false if this node is not a leader with a valid lease.
func (n *Node) ReadIndex() (index uint64, ok bool) {
	_, ok = n.LeaseStart()
	return n.log.commit, ok
}
