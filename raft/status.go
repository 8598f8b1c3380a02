package raft

// Status is a summary of a node's state.
type Status struct {
	ID             ReplicaID
	Role           Role
	Term           uint64
	Leader         ReplicaID // zero if unknown
	Commit         uint64
	Applied        uint64
	LastIndex      uint64 // index of the last entry
	CompactedIndex uint64 // index up to which the log is compacted
	SnapshotIndex  uint64 // index of the newest stored snapshot
	Members        Members
	// Match holds the last synced index of each other member. It is set on the
	// leader only.
	Match map[ReplicaID]uint64
}

// Status returns a summary of the node's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, LastIndex: n.log.lastIndex(),
		CompactedIndex: n.log.base, SnapshotIndex: n.snapshot.Index, Members: n.log.members(),
	}
	if n.role == Leader {
		s.Match = make(map[ReplicaID]uint64, len(n.peers))
		for id, p := range n.peers {
			s.Match[id] = p.match
		}
	}
	return s
}

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Leader returns the known leader of the term, or the zero id.
func (n *Node) Leader() ReplicaID { return n.leader }

// Members returns the newest membership, committed or not.
func (n *Node) Members() Members { return n.log.members() }

// MembersChangePending reports whether the newest membership is not committed.
func (n *Node) MembersChangePending() bool { return n.log.changePending() }

// Now returns the number of ticks since the start of the node.
func (n *Node) Now() uint64 { return n.now }

// TicksSinceAck returns, on a leader, the ticks since it sent the latest
// message that the member has acknowledged in this term, or since it became
// leader.
func (n *Node) TicksSinceAck(id ReplicaID) uint64 {
	since := n.leaderSince
	if p := n.peers[id]; p != nil {
		since = max(since, p.ackedTick)
	}
	return n.now - since
}

// CaughtUp reports whether this node is the leader and id has synced the
// committed log and replies.
func (n *Node) CaughtUp(id ReplicaID) bool { return n.role == Leader && n.caughtUp(id) }
