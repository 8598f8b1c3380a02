package raft

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"damaskbridge.example/damaskbridge/ids"
)

// Members is the membership of a group. Learners receive the log and neither
// vote nor count for a majority.
type Members struct {
	Voters   []ReplicaID `cbor:"1,keyasint,omitempty"`
	Learners []ReplicaID `cbor:"2,keyasint,omitempty"`
}

// IsEmpty says that no member is known, as on a new disk.
func (m Members) IsEmpty() bool { return len(m.Voters) == 0 }

// IsVoter says whether id may vote.
func (m Members) IsVoter(id ReplicaID) bool { return slices.Contains(m.Voters, id) }

// IsLearner says whether id is a learner.
func (m Members) IsLearner(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// Contains says whether id is a voter or a learner.
func (m Members) Contains(id ReplicaID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Of finds the member that runs on vm.
func (m Members) Of(vm ids.VMID) (ReplicaID, bool) {
	for _, id := range m.All() {
		if id.VM == vm {
			return id, true
		}
	}
	return ReplicaID{}, false
}

// All gives voters, then learners.
func (m Members) All() []ReplicaID {
	return append(slices.Clone(m.Voters), m.Learners...)
}

// quorum is the number of voters that form a majority.
func (m Members) quorum() int { return len(m.Voters)/2 + 1 }

func (m Members) encode() ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("raft: encode members: %w", err)
	}
	return b, nil
}

func decodeMembers(b []byte) (Members, error) {
	var m Members
	if err := cbor.Unmarshal(b, &m); err != nil {
		return Members{}, fmt.Errorf("raft: decode members: %w", err)
	}
	return m, nil
}

// ChangeKind says how the membership changes.
type ChangeKind uint8

// Kinds of membership changes. Each adds or removes at most one voter, so that
// every majority before the change meets every majority after it.
const (
	// AddLearner adds a learner and removes an older incarnation of its VM.
	AddLearner ChangeKind = iota + 1
	// PromoteLearner makes a learner that is caught up and synced a voter.
	PromoteLearner
	// RemoveMember removes a voter or a learner.
	RemoveMember
)

// MembersChange is one membership change.
type MembersChange struct {
	Kind ChangeKind
	ID   ReplicaID
}

// apply gives the membership after c.
func (m Members) apply(c MembersChange) (Members, error) {
	next := Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
	switch c.Kind {
	case AddLearner:
		if m.Contains(c.ID) {
			return m, &ChangeError{Change: c, Reason: "the replica is already a member", Remedy: "nothing is to be done"}
		}
		if old, ok := m.Of(c.ID.VM); ok {
			if old.Incarnation > c.ID.Incarnation {
				return m, &StaleIdentityError{ID: c.ID, Known: old}
			}
			next.remove(old)
		}
		next.Learners = append(next.Learners, c.ID)
	case PromoteLearner:
		if !m.IsLearner(c.ID) {
			return m, &ChangeError{Change: c, Reason: "the replica is not a learner", Remedy: "add it as a learner first"}
		}
		next.remove(c.ID)
		next.Voters = append(next.Voters, c.ID)
	case RemoveMember:
		if !m.Contains(c.ID) {
			return m, &ChangeError{Change: c, Reason: "the replica is not a member", Remedy: "nothing is to be done"}
		}
		next.remove(c.ID)
	default:
		return m, &ChangeError{Change: c, Reason: "the kind is not known", Remedy: "use a kind of this package"}
	}
	if next.IsEmpty() {
		return m, &ChangeError{Change: c, Reason: "no voter would remain", Remedy: "promote another learner first"}
	}
	return next, nil
}

func (m *Members) remove(id ReplicaID) {
	is := func(o ReplicaID) bool { return o == id }
	m.Voters = slices.DeleteFunc(m.Voters, is)
	m.Learners = slices.DeleteFunc(m.Learners, is)
}
