package raft

// Ready is the work that the caller must do next; see the package comment for
// the order.
type Ready struct {
	// HardState is set if it has changed.
	HardState *HardState
	// Snapshot replaces the entire log and the state machine.
	Snapshot *Snapshot
	// Entries replace all stored entries from the first one's index on.
	Entries []Entry
	// Immediate holds messages that may be sent before the sync, because they do
	// not depend on what it makes durable.
	Immediate []Message
	// Messages must be sent only after the sync.
	Messages []Message
	// Committed entries must be applied in order, after the sync.
	Committed []Entry
}

// MustSync reports whether the Ready holds state to store and sync before
// Messages are sent.
func (r *Ready) MustSync() bool {
	return r.Snapshot != nil || len(r.Entries) > 0 || r.HardState != nil
}

// Ready returns the pending work, or false if there is none. The caller must
// call Advance after each Ready before any other method.
func (n *Node) Ready() (Ready, bool) {
	if n.role == Leader {
		n.sendAppends()
	}
	var r Ready
	r.Snapshot = n.receivedSnapshot
	if hs := n.hardState(); hs != n.savedHardState {
		r.HardState = &hs
	}
	l := n.log
	r.Entries = l.slice(l.submitted+1, l.lastIndex(), maxReadyBytes)
	n.readyStable = l.submitted + uint64(len(r.Entries))
	n.readyApplied = min(l.commit, n.readyStable)
	if l.applied < n.readyApplied {
		r.Committed = l.slice(l.applied+1, n.readyApplied, maxReadyBytes)
		n.readyApplied = l.applied + uint64(len(r.Committed))
	}
	r.Immediate, n.immediate = n.immediate, nil
	r.Messages, n.messages = n.messages, nil
	any := r.MustSync() || len(r.Immediate) > 0 || len(r.Messages) > 0 || len(r.Committed) > 0
	n.readyOutstanding = any
	return r, any
}

// maxReadyBytes limits the entries of one Ready, so that the caller handles
// ticks and messages in between.
const maxReadyBytes = 4 << 20

// Advance reports that the last Ready is stored, synced, sent and applied.
func (n *Node) Advance() {
	if !n.readyOutstanding {
		return
	}
	n.readyOutstanding = false
	n.savedHardState = n.hardState()
	n.receivedSnapshot = nil
	n.log.submitted = n.readyStable
	n.log.stable = n.readyStable
	n.log.applied = max(n.log.applied, n.readyApplied)
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
