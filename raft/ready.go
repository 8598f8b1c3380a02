package raft

// Ready is what the caller has to do next; see the package comment for the
// order.
type Ready struct {
	// HardState is set if it has changed.
	HardState *HardState
	// Snapshot replaces the whole log and the state machine.
	Snapshot *Snapshot
	// Entries replace everything stored from the first one's index on.
	Entries []Entry
	// Early may be sent before the sync; they promise nothing about it.
	Early []Message
	// Messages are sent only after the sync.
	Messages []Message
	// Committed entries are applied in order, after the sync.
	Committed []Entry
}

// MustSync says whether the Ready holds anything that a message depends on.
func (r *Ready) MustSync() bool {
	return r.Snapshot != nil || len(r.Entries) > 0 || r.HardState != nil
}

// Ready gives what is to be done, or false if there is nothing. Each Ready is
// followed by Advance before any other call.
func (n *Node) Ready() (Ready, bool) {
	if n.role == Leader {
		n.sendAppends()
	}
	var r Ready
	r.Snapshot = n.restored
	if hs := n.hardState(); hs != n.saved {
		r.HardState = &hs
	}
	l := n.log
	r.Entries = l.slice(l.handed+1, l.last(), maxReadyBytes)
	n.handing = l.handed + uint64(len(r.Entries))
	n.applying = min(l.commit, n.handing)
	if l.applied < n.applying {
		r.Committed = l.slice(l.applied+1, n.applying, maxReadyBytes)
		n.applying = l.applied + uint64(len(r.Committed))
	}
	r.Early, n.early = n.early, nil
	r.Messages, n.messages = n.messages, nil
	any := r.MustSync() || len(r.Early) > 0 || len(r.Messages) > 0 || len(r.Committed) > 0
	n.outstanding = any
	return r, any
}

// maxReadyBytes bounds the entries of one Ready, so that ticks and messages
// are handled in between.
const maxReadyBytes = 4 << 20

// Advance reports that the last Ready is stored, synced, sent and applied.
func (n *Node) Advance() {
	if !n.outstanding {
		return
	}
	n.outstanding = false
	n.saved = n.hardState()
	n.restored = nil
	n.log.handed = n.handing
	n.log.stable = n.handing
	n.log.applied = max(n.log.applied, n.applying)
	switch n.role {
	case Candidate:
		n.recordVote(n.cfg.ID, true)
	case Leader:
		n.acknowledgeSelf()
	}
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}
