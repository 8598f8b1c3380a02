package raft

import "slices"

// quorumRound gives the newest tick at which a majority, this leader included,
// was reached by a message that it has acknowledged; 0 if there is none yet.
func (n *Node) quorumRound() uint64 {
	members := n.log.members()
	rounds := make([]uint64, 0, len(members.Voters))
	for _, id := range members.Voters {
		switch p := n.peers[id]; {
		case id == n.cfg.ID:
			rounds = append(rounds, n.now)
		case p != nil:
			rounds = append(rounds, p.ackRound)
		default:
			rounds = append(rounds, 0)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-members.quorum()]
}

// LeaseRound gives the tick of the newest round that a majority has confirmed,
// if this node is a leader whose lease is valid. At that tick no other leader
// had been elected, and no other can commit anything before the lease ends.
func (n *Node) LeaseRound() (round uint64, ok bool) {
	if n.role != Leader || n.log.commit < n.termStart {
		return 0, false
	}
	// A replica that was told to campaign breaks the others' promise, also
	// if the message reaches it late, so the lease ends for this term.
	if n.transfer.sent {
		return 0, false
	}
	round = n.quorumRound()
	return round, round > 0 && n.now < round+n.cfg.leaseTicks()
}

// ReadIndex gives the index that a read must see applied to be linearizable,
// if this node is a leader whose lease is valid.
func (n *Node) ReadIndex() (index uint64, ok bool) {
	_, ok = n.LeaseRound()
	return n.log.commit, ok
}
