package raft

import (
	"fmt"

	"damaskbridge.example/damaskbridge/ids"
)

// Config configures a Node.
type Config struct {
	ID    ReplicaID
	Group ids.GroupID
	// ElectionTicks is the minimum election timeout. A replica that heard from
	// a leader within this time does not vote for another candidate.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats.
	HeartbeatTicks int
	// VoteDelayTicks is how long a replica neither votes nor campaigns after its
	// start. A leader's lease may rely on a heartbeat that the replica
	// acknowledged before a restart, and that acknowledgement is not stored. The
	// default, ElectionTicks, outlasts such a lease; a lower value is safe only
	// if no reads are served under a lease.
	VoteDelayTicks int
	// Seed seeds the randomization of the election timeout.
	Seed uint64
	// MaxMessageBytes limits the entries of one append; 0 selects the default.
	MaxMessageBytes int
	// MaxInflight limits the unacknowledged appends to one follower; 0 selects
	// the default.
	MaxInflight int
	// MaxPendingBytes limits the uncommitted entries of a leader; 0 selects the
	// default.
	MaxPendingBytes int
}

const (
	defaultMaxMessageBytes = 256 << 10
	defaultMaxInflight     = 32
	defaultMaxPendingBytes = 16 << 20
	// entryOverheadBytes allows for the encoding of an entry besides its data.
	entryOverheadBytes = 32
	// minElectionTicks ensures that the lease is shorter than the time for
	// which followers withhold their votes by more than one tick of rounding.
	minElectionTicks = 5
)

func (c *Config) setDefaults() {
	setIfZero(&c.MaxMessageBytes, defaultMaxMessageBytes)
	setIfZero(&c.MaxInflight, defaultMaxInflight)
	setIfZero(&c.MaxPendingBytes, defaultMaxPendingBytes)
	setIfZero(&c.VoteDelayTicks, c.ElectionTicks)
}

func setIfZero(v *int, value int) {
	if *v == 0 {
		*v = value
	}
}

func (c *Config) validate() error {
	if c.ID.IsZero() || c.Group == 0 {
		return fmt.Errorf("raft: the replica id or the group is missing")
	}
	if c.ElectionTicks < minElectionTicks {
		return fmt.Errorf("raft: election timeout of %d ticks is too short; use at least %d", c.ElectionTicks, minElectionTicks)
	}
	if c.HeartbeatTicks < 1 || c.HeartbeatTicks*2 > c.ElectionTicks {
		return fmt.Errorf("raft: heartbeat interval of %d ticks is not valid for an election timeout of %d; use 1 to half of it", c.HeartbeatTicks, c.ElectionTicks)
	}
	if c.VoteDelayTicks < 1 || c.VoteDelayTicks > c.ElectionTicks {
		return fmt.Errorf("raft: vote delay of %d ticks is not valid for an election timeout of %d; use 1 to %d", c.VoteDelayTicks, c.ElectionTicks, c.ElectionTicks)
	}
	return nil
}

// leaseTicks returns how long a leader may serve reads after it sent a
// heartbeat that a majority has acknowledged. A follower withholds its vote for
// at least ElectionTicks-1 whole ticks after receipt; the remaining fifth
// allows for clocks that run at different rates.
func (c *Config) leaseTicks() uint64 {
	return uint64(c.ElectionTicks - 1 - c.ElectionTicks/5)
}

// State is the persisted state from which a node starts.
type State struct {
	HardState HardState
	// Snapshot is nil if there is none; its Data is not used.
	Snapshot *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Bootstrap returns the initial state of the first replica of a new group.
// The caller stores its snapshot, with the data of an empty state machine,
// before it starts the node.
func Bootstrap(m Members) State {
	return State{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  &Snapshot{Index: 1, Term: 1, Members: m},
	}
}
