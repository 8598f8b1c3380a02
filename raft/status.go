package raft

// Status describes a node.
type Status struct {
	ID       ReplicaID
	Role     Role
	Term     uint64
	Leader   ReplicaID // zero if not known
	Commit   uint64
	Applied  uint64
	Last     uint64
	Base     uint64 // last index that was compacted away
	Snapshot uint64 // index of the newest stored snapshot
	Members  Members
	// Match is the last synced index of each member, on the leader only.
	Match map[ReplicaID]uint64
}

// Status gives the node's status.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, Last: n.log.last(),
		Base: n.log.base, Snapshot: n.snapshot.Index, Members: n.log.members(),
	}
	if n.role == Leader {
		s.Match = make(map[ReplicaID]uint64, len(n.peers))
		for id, p := range n.peers {
			s.Match[id] = p.match
		}
	}
	return s
}

// Role gives the node's role.
func (n *Node) Role() Role { return n.role }

// Leader gives the known leader of the term, or the zero id.
func (n *Node) Leader() ReplicaID { return n.leader }

// Members gives the newest membership, committed or not.
func (n *Node) Members() Members { return n.log.members() }

// Now gives the number of ticks since the start of the node.
func (n *Node) Now() uint64 { return n.now }

// Silence gives, on a leader, the ticks since the sending of the newest message
// that a member has acknowledged in this term, or since the term began.
func (n *Node) Silence(id ReplicaID) uint64 {
	since := n.leaderSince
	if p := n.peers[id]; p != nil {
		since = max(since, p.ackRound)
	}
	return n.now - since
}

// CaughtUp says, on a leader, whether a learner has synced the committed log.
func (n *Node) CaughtUp(id ReplicaID) bool { return n.role == Leader && n.caughtUp(id) }
