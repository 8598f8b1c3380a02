package raft

import "bytes"

// checkLeader verifies election safety and, for a new leader, completeness.
func (n *network) checkLeader(r *replica) {
	node := r.node
	if node.role == Leader {
		if other, ok := n.leaders[node.term]; ok && other != r.id {
			n.t.Fatalf("term %d has two leaders, %s and %s", node.term, other, r.id)
		}
		if _, ok := n.leaders[node.term]; !ok {
			n.leaders[node.term] = r.id
			n.checkLeaderCompleteness(r)
		}
	}
	n.maxCommitted = max(n.maxCommitted, node.log.commit)
}

// checkLeaderCompleteness verifies that a new leader holds every committed entry.
func (n *network) checkLeaderCompleteness(r *replica) {
	l := r.node.log
	if l.lastIndex() < n.maxCommitted {
		n.t.Fatalf("leader %s of term %d ends at %d, committed is %d", r.id, r.node.term, l.lastIndex(), n.maxCommitted)
	}
	for index, e := range n.committed {
		if term, ok := l.term(index); ok && term != e.Term {
			n.t.Fatalf("leader %s of term %d has term %d at %d, committed is term %d", r.id, r.node.term, term, index, e.Term)
		}
	}
}

// checkLeases verifies that no replica would serve a stale read now.
func (n *network) checkLeases() {
	for _, vm := range n.vms {
		node := n.replicas[vm].node
		if node == nil {
			continue
		}
		if index, ok := node.ReadIndex(); ok && index < n.maxCommitted {
			n.t.Fatalf("%s serves reads at %d in term %d, committed is %d", node.cfg.ID, index, node.term, n.maxCommitted)
		}
	}
}

// checkLogs verifies the log matching property for all pairs of replicas.
func (n *network) checkLogs() {
	for _, a := range n.vms {
		for _, b := range n.vms {
			n.checkLogMatching(n.replicas[a].node, n.replicas[b].node)
		}
	}
}

func (n *network) checkLogMatching(a, b *Node) {
	if a == nil || b == nil || a == b {
		return
	}
	matched := false
	for i := min(a.log.lastIndex(), b.log.lastIndex()); i > max(a.log.base, b.log.base); i-- {
		ea, eb := a.log.entries[i-a.log.base-1], b.log.entries[i-b.log.base-1]
		same := ea.Term == eb.Term
		if same && !bytes.Equal(ea.Data, eb.Data) || matched && !same {
			n.t.Fatalf("logs of %s and %s differ at %d: %+v, %+v", a.cfg.ID, b.cfg.ID, i, ea, eb)
		}
		matched = same
	}
}
