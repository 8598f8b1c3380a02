package raft

// progressState says how entries are sent to a follower.
type progressState uint8

const (
	// probing sends one append at a time until the logs are seen to match.
	probing progressState = iota
	// replicating sends appends ahead of their acknowledgement.
	replicating
	// snapshotting waits for the follower to restore a snapshot.
	snapshotting
)

// progress is the leader's view of one member.
type progress struct {
	match uint64
	next  uint64
	state progressState
	// paused is set while a probe is under way.
	paused bool
	// inflight holds the last index of each append under way.
	inflight []uint64
	// ackRound is the leader's tick at which the newest acknowledged message
	// was sent; 0 before the first acknowledgement of this term.
	ackRound uint64
	// offered is the tick of the last snapshot offer.
	offered uint64
}

func (p *progress) probe(next uint64) {
	p.state, p.paused, p.inflight = probing, false, nil
	p.next = max(next, p.match+1)
}

// acknowledge takes a match at index and says whether it is new.
func (p *progress) acknowledge(index uint64) bool {
	p.paused = false
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

func (p *progress) windowFull(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.paused
	case replicating:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}
