package control

import (
	"context"
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/wal"
)

const (
	// diskRetryInterval is the time between two attempts to store what found no
	// space.
	diskRetryInterval = 200 * time.Millisecond
	// snapshotRetryInterval is the same for a snapshot of the state machine, which
	// is costly to encode and which nobody waits for.
	snapshotRetryInterval = time.Second
)

// fullDisk is the state of a replica whose disk is full. The raft node then stands
// still with a Ready that is not stored: no message and no tick reaches it, as if
// the process were paused, and nothing that depends on the Ready is sent. The
// leader outlasts the pause until the node hears from one.
type fullDisk struct {
	ready   *raft.Ready // nil while there is space
	since   time.Time
	retryAt time.Time
	// snapshot is the Ready's snapshot once it is stored, while the log has no space
	// for the reset that follows. It is not stored twice: that takes as much space
	// again.
	snapshot *raft.Snapshot
	// leader is the sender of the latest message of a leader, term its term and
	// heardAt its time. They only direct calls, which the receiver checks.
	leader  raft.ReplicaID
	term    uint64
	heardAt time.Time
}

// OpenWhenSpace is Open, but waits while the disk has no space for what Open has to
// store, until ctx ends. It then returns ctx's error.
func OpenWhenSpace(ctx context.Context, o Options) (*Replica, error) {
	waits := false
	for {
		r, err := Open(o)
		if !wal.IsFull(err) {
			return r, err
		}
		if !waits && o.Logger != nil {
			o.Logger.Warn().Err(err).Msg("control: disk full; the replica starts when there is space")
		}
		waits = true
		if !timer.Sleep(ctx, diskRetryInterval) {
			return nil, errors.Join(ctx.Err(), err)
		}
	}
}

// paused reports whether the raft node stands still because the disk is full.
func (r *Replica) paused() bool { return r.full.ready != nil }

// nextReady returns what to store and send next: the Ready that found no space,
// once it is time to try again, or the node's next one.
func (r *Replica) nextReady() (raft.Ready, bool) {
	if !r.paused() {
		return r.node.Ready()
	}
	return *r.full.ready, !time.Now().Before(r.full.retryAt)
}

// pause keeps a Ready that found no space. A leader steps down: it could commit
// nothing, and its proposals can be decided by the next leader only.
func (r *Replica) pause(rd raft.Ready, err error) {
	rd.Immediate = nil // sent already
	if !r.paused() {
		led := r.node.Role() == raft.Leader
		r.sender.send(r.node.StepDown())
		r.abandonPending()
		s := r.node.Status()
		r.full = fullDisk{snapshot: r.full.snapshot, since: time.Now(), leader: s.Leader, term: s.Term, heardAt: time.Now()}
		r.counters.diskFullTotal.Inc()
		r.counters.diskFull.Set(1)
		r.opts.Logger.Warn().Err(err).Bool("led", led).Msg("control: disk full; this replica neither votes nor leads until there is space")
	}
	r.full.ready, r.full.retryAt = &rd, time.Now().Add(diskRetryInterval)
}

// resume ends the pause after the Ready was stored. The node's clock goes on where
// it stood: its promises last longer, it holds no lease, and it does not campaign
// before it could hear from the leader.
func (r *Replica) resume() {
	if !r.paused() {
		return
	}
	r.opts.Logger.Info().Dur("after", time.Since(r.full.since)).Msg("control: disk has space again")
	r.counters.diskFull.Set(0)
	r.full.ready = nil
	r.epoch = time.Now().Add(-r.ticksToDuration(r.node.Now()))
}

// observeLeader drops messages to a paused node, but remembers which leader is
// alive, so that changes and reports still reach it.
func (r *Replica) observeLeader(list []raft.Message) {
	r.counters.raftMessagesDropped.Add(len(list))
	for i := range list {
		m := &list[i]
		switch m.Type {
		case raft.MsgAppend, raft.MsgHeartbeat, raft.MsgSnapshot:
			if m.To == r.id && m.Term >= r.full.term {
				r.full.leader, r.full.term, r.full.heardAt = m.From, m.Term, time.Now()
			}
		}
	}
}

// knownLeader returns the leader to which calls are directed, or the zero id, and
// its term. s is the node's status.
func (r *Replica) knownLeader(s *raft.Status) (raft.ReplicaID, uint64) {
	if !r.paused() && (!s.Leader.IsZero() || s.Term > r.full.term) {
		return s.Leader, s.Term
	}
	if time.Since(r.full.heardAt) > r.ticksToDuration(uint64(r.opts.ElectionTicks)) {
		return raft.ReplicaID{}, max(s.Term, r.full.term)
	}
	return r.full.leader, r.full.term
}

// postponeSnapshot makes maybeSnapshot try again later. appliedBytes is what was
// applied before the snapshot that found no space.
func (r *Replica) postponeSnapshot(err error, appliedBytes int64) {
	r.counters.snapshotsPostponed.Inc()
	r.opts.Logger.Warn().Err(err).Msg("control: snapshot not stored; it is tried again")
	r.snapshotIndex = r.node.Status().SnapshotIndex
	r.appliedBytes += appliedBytes
	r.snapshotRetryAt = time.Now().Add(snapshotRetryInterval)
}

// compact removes the segments that a snapshot covers. Without space for the
// removal they stay until the next snapshot.
func (r *Replica) compact(index uint64) error {
	err := r.log.Compact(index)
	if wal.IsFull(err) {
		r.opts.Logger.Warn().Err(err).Msg("control: old segments are kept until the next snapshot")
		return nil
	}
	return err
}
