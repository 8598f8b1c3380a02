package raft

import (
	"fmt"

	"damaskbridge.example/damaskbridge/ids"
)

// Config configures a Node.
type Config struct {
	ID    ReplicaID
	Group ids.GroupID
	// ElectionTicks is the shortest time without a leader before a replica
	// campaigns, and the time for which a replica that heard from a leader
	// votes for no other.
	ElectionTicks int
	// HeartbeatTicks is the time between two heartbeats.
	HeartbeatTicks int
	// StartTicks is the time after its start for which a replica neither votes
	// nor campaigns. Its default, ElectionTicks, keeps the promise that it may
	// have given to a leader before: it is not stored. Less is safe only where
	// nothing is read under a leader's lease.
	StartTicks int
	// Seed seeds the random part of the election time.
	Seed uint64
	// MaxMessageBytes bounds the entries of one append; 0 takes the default.
	MaxMessageBytes int
	// MaxInflight bounds the appends under way to one follower.
	MaxInflight int
	// MaxPendingBytes bounds the uncommitted entries of a leader.
	MaxPendingBytes int
}

const (
	defaultMaxMessageBytes = 256 << 10
	defaultMaxInflight     = 32
	defaultMaxPendingBytes = 16 << 20
	entryOverheadBytes     = 32
	// minElectionTicks leaves room for a lease that is shorter than the
	// followers' promise by more than one tick of rounding.
	minElectionTicks = 5
)

func (c *Config) setDefaults() {
	setInt(&c.MaxMessageBytes, defaultMaxMessageBytes)
	setInt(&c.MaxInflight, defaultMaxInflight)
	setInt(&c.MaxPendingBytes, defaultMaxPendingBytes)
	setInt(&c.StartTicks, c.ElectionTicks)
}

func setInt(v *int, value int) {
	if *v == 0 {
		*v = value
	}
}

func (c *Config) check() error {
	if c.ID.IsZero() || c.Group == 0 {
		return fmt.Errorf("raft: a replica needs an id and a group")
	}
	if c.ElectionTicks < minElectionTicks {
		return fmt.Errorf("raft: election time of %d ticks is too short; use at least %d", c.ElectionTicks, minElectionTicks)
	}
	if c.HeartbeatTicks < 1 || c.HeartbeatTicks*2 > c.ElectionTicks {
		return fmt.Errorf("raft: heartbeat time of %d ticks does not fit an election time of %d; use at most half", c.HeartbeatTicks, c.ElectionTicks)
	}
	if c.StartTicks < 1 || c.StartTicks > c.ElectionTicks {
		return fmt.Errorf("raft: start time of %d ticks does not fit an election time of %d; use 1 to %d", c.StartTicks, c.ElectionTicks, c.ElectionTicks)
	}
	return nil
}

// leaseTicks is the time for which a leader may serve reads after the sending
// of a heartbeat that a majority has acknowledged. A follower keeps its promise
// for at least ElectionTicks-1 whole ticks after the receipt; the remaining
// fifth allows for clocks that run at different rates.
func (c *Config) leaseTicks() uint64 {
	return uint64(c.ElectionTicks - 1 - c.ElectionTicks/5)
}

// State is what the caller has read from disk.
type State struct {
	HardState HardState
	// Snapshot is nil if there is none; its Data is not used.
	Snapshot *Snapshot
	// Entries follow the snapshot.
	Entries []Entry
}

// Bootstrap gives the state from which the first replica of a new group
// starts. The caller stores its snapshot, with the data of an empty state
// machine, before it starts the node.
func Bootstrap(m Members) State {
	return State{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  &Snapshot{Index: 1, Term: 1, Members: m},
	}
}
