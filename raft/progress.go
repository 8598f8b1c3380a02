package raft

// progressState determines how entries are sent to a member.
type progressState uint8

const (
	// probing sends one append at a time until the logs are known to match.
	probing progressState = iota
	// replicating pipelines appends without waiting for acknowledgements.
	replicating
	// snapshotting waits for the member to restore a snapshot.
	snapshotting
)

// progress is the leader's view of one member. match is the highest index known
// to be synced by the member, next the index of the next entry to send.
type progress struct {
	match uint64
	next  uint64
	state progressState
	// probePending is set while a probe is unacknowledged.
	probePending bool
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// ackedTick is the leader's tick at which the latest acknowledged message
	// was sent; 0 before the first acknowledgement of this term.
	ackedTick uint64
	// snapshotOfferTick is the tick at which a snapshot was last offered.
	snapshotOfferTick uint64
}

// probe switches to probing from index next on.
func (p *progress) probe(next uint64) {
	p.state, p.probePending, p.inflight = probing, false, nil
	p.next = max(next, p.match+1)
}

// acknowledge records that the member's log matches up to index and reports
// whether match has advanced.
func (p *progress) acknowledge(index uint64) bool {
	p.probePending = false
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	return true
}

// windowFull reports whether no further append may be sent now.
func (p *progress) windowFull(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probePending
	case replicating:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}
