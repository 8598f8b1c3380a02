package raft

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"damaskbridge.example/damaskbridge/ids"
)

// Members is the membership of a group. Learners receive the log but neither
// vote nor count towards a majority.
type Members struct {
	Voters   []ReplicaID `cbor:"1,keyasint,omitempty"`
	Learners []ReplicaID `cbor:"2,keyasint,omitempty"`
}

// IsEmpty reports whether there is no voter, as on a new disk.
func (m Members) IsEmpty() bool { return len(m.Voters) == 0 }

// IsVoter reports whether id is a voter.
func (m Members) IsVoter(id ReplicaID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Members) IsLearner(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a voter or a learner.
func (m Members) Contains(id ReplicaID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// MemberOn returns the member that runs on vm.
func (m Members) MemberOn(vm ids.VMID) (ReplicaID, bool) {
	for _, id := range m.All() {
		if id.VM == vm {
			return id, true
		}
	}
	return ReplicaID{}, false
}

// All returns the voters followed by the learners.
func (m Members) All() []ReplicaID {
	return append(slices.Clone(m.Voters), m.Learners...)
}

// quorum returns the number of voters that form a majority.
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

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes. Each adds or removes at most one voter, so that
// every majority before the change overlaps every majority after it.
const (
	// AddLearner adds a learner and removes an older incarnation of its VM.
	AddLearner ChangeKind = iota + 1
	// PromoteLearner makes a voter of a learner that has synced the committed log.
	PromoteLearner
	// RemoveMember removes a voter or a learner.
	RemoveMember
)

// MembersChange is one membership change.
type MembersChange struct {
	Kind ChangeKind
	ID   ReplicaID
}

// apply returns the membership after c.
func (m Members) apply(c MembersChange) (Members, error) {
	next := Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
	switch c.Kind {
	case AddLearner:
		if m.Contains(c.ID) {
			return m, &ChangeError{Change: c, Reason: "the replica is already a member", Remedy: "no action is needed"}
		}
		if old, ok := m.MemberOn(c.ID.VM); ok {
			if old.Incarnation > c.ID.Incarnation {
				return m, &StaleIdentityError{ID: c.ID, Current: old}
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
			return m, &ChangeError{Change: c, Reason: "the replica is not a member", Remedy: "no action is needed"}
		}
		next.remove(c.ID)
	default:
		return m, &ChangeError{Change: c, Reason: "the kind of change is not known", Remedy: "use AddLearner, PromoteLearner or RemoveMember"}
	}
	if next.IsEmpty() {
		return m, &ChangeError{Change: c, Reason: "no voter would remain", Remedy: "promote another learner first"}
	}
	return next, nil
}

func (m *Members) remove(id ReplicaID) {
	matches := func(o ReplicaID) bool { return o == id }
	m.Voters = slices.DeleteFunc(m.Voters, matches)
	m.Learners = slices.DeleteFunc(m.Learners, matches)
}
