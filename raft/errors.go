package raft

import (
	"errors"
	"fmt"
)

// Errors returned by proposals.
var (
	// ErrNotLeader means that this replica is not the leader.
	ErrNotLeader = errors.New("raft: this replica is not the leader; send the command to the leader")
	// ErrTransferring means that a leadership transfer is in progress.
	ErrTransferring = errors.New("raft: leadership is being transferred; retry after the election")
	// ErrChangePending means that the previous membership change, or the first
	// entry of the leader's term, is not committed.
	ErrChangePending = errors.New("raft: a membership change is not yet committed; retry after it is committed")
	// ErrTooManyPending means that the limit of uncommitted bytes is reached.
	ErrTooManyPending = errors.New("raft: too many uncommitted bytes; retry after a majority has caught up")
	// ErrLearnerBehind means that a learner cannot be promoted because its log
	// lacks committed entries.
	ErrLearnerBehind = errors.New("raft: the learner has not synced the committed log; retry after it has caught up")
)

// ChangeError reports a membership change or leadership transfer that is not
// valid for the current membership.
type ChangeError struct {
	Change MembersChange
	Reason string
	Remedy string
}

func (e *ChangeError) Error() string {
	return fmt.Sprintf("raft: membership change of %s refused: %s; %s", e.Change.ID, e.Reason, e.Remedy)
}

// StaleIdentityError reports that a replica uses an identity that a newer
// incarnation of its VM has replaced.
type StaleIdentityError struct {
	ID      ReplicaID
	Current ReplicaID
}

func (e *StaleIdentityError) Error() string {
	return fmt.Sprintf("raft: replica %s was replaced by %s; move its data folder away and restart it, so that it joins under a new incarnation", e.ID, e.Current)
}

// GapError reports that the indexes of stored entries are not consecutive.
type GapError struct {
	Want uint64
	Got  uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("raft: the stored log continues at index %d instead of %d; move the data folder away and restart, so that the replica joins under a new incarnation", e.Got, e.Want)
}
