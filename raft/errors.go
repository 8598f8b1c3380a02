package raft

import (
	"errors"
	"fmt"
)

// Errors of proposals.
var (
	// ErrNotLeader says that this replica cannot propose.
	ErrNotLeader = errors.New("raft: this replica is not the leader; send the command to the leader")
	// ErrTransferring says that leadership is being handed over.
	ErrTransferring = errors.New("raft: leadership is being transferred; retry after the election")
	// ErrChangePending says that a membership change is under way.
	ErrChangePending = errors.New("raft: a membership change is not yet committed; retry when it is")
	// ErrTooManyPending says that the uncommitted log is full.
	ErrTooManyPending = errors.New("raft: too many uncommitted bytes; retry when a majority has caught up")
	// ErrLearnerBehind says that a learner may not vote yet.
	ErrLearnerBehind = errors.New("raft: the learner has not synced the committed log; retry when it has")
)

// ChangeError says why a membership change is refused.
type ChangeError struct {
	Change MembersChange
	Reason string
	Remedy string
}

func (e *ChangeError) Error() string {
	return fmt.Sprintf("raft: membership change of %s refused: %s; %s", e.Change.ID, e.Reason, e.Remedy)
}

// StaleIdentityError says that a replica uses an identity that was replaced.
type StaleIdentityError struct {
	ID    ReplicaID
	Known ReplicaID
}

func (e *StaleIdentityError) Error() string {
	return fmt.Sprintf("raft: replica %s was replaced by %s; move its data folder away and restart it, so that it joins under a new incarnation", e.ID, e.Known)
}

// GapError says that stored entries do not follow each other.
type GapError struct {
	Want uint64
	Got  uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("raft: the stored log continues at index %d instead of %d; move the data folder away and restart, so that the replica joins under a new incarnation", e.Got, e.Want)
}
