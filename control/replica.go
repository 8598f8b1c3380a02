package control

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/wal"
	"damaskbridge.example/damaskbridge/wire"
)

// ErrStopped is returned by calls to a replica that has stopped.
var ErrStopped = errors.New("control: the replica has stopped; see the log for the reason and restart the process")

const (
	// maxProposalBatch bounds the proposals and message batches handled in one
	// iteration of the event loop. They share one append and one sync.
	maxProposalBatch = 512
	inboxCapacity    = 1024
)

// Replica runs this VM's replica of one group. Its methods are safe for
// concurrent use.
type Replica struct {
	opts      Options
	addresses *addressBook
	sender    *sender
	counters  *counters

	proposals chan *proposal
	inbox     chan []raft.Message
	tasks     chan func()
	published atomic.Pointer[view]
	// changed is closed and replaced when the leader, the settings or the
	// document changes.
	changeMu sync.Mutex
	changed  chan struct{}

	cancel     context.CancelFunc
	ctx        context.Context
	background sync.WaitGroup
	done       chan struct{}
	errMu      sync.Mutex
	err        error
	aborted    atomic.Bool

	// transfer is the encoded snapshot that followers are fetching.
	transfer transferCache

	loopState
}

// loopState is accessed by the replica's goroutine only.
type loopState struct {
	id   raft.ReplicaID
	log  *wal.Log
	node *raft.Node
	// epoch is the time of the raft node's tick 0.
	epoch      time.Time
	pending    map[uint64]*proposal
	applied    uint64
	savedState raft.HardState // the newest one stored
	// leaderSince is when this replica's lease was first valid in leaderTerm.
	leaderTerm    uint64
	leaderSince   time.Time
	snapshotIndex uint64 // index of the newest snapshot, stored or in progress
	// appliedBytes is the size of the commands applied since snapshotIndex;
	// snapshotBytes is the size of the newest snapshot's data.
	appliedBytes     int64
	snapshotBytes    int64
	savingSnapshot   bool
	fetchingSnapshot bool
	// snapshotRetryAt is when a snapshot that found no space is tried again.
	snapshotRetryAt time.Time
	full            fullDisk
	// leaving holds the tick at which a replica last asked to hand over its vote.
	leaving map[raft.ReplicaID]uint64
}

// Open reads the group's files and starts the replica. It returns a
// *wal.DamageError if a file is damaged and a *wal.FullError if it needs space on
// the disk and there is none.
func Open(opts Options) (*Replica, error) {
	opts.setDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	r := &Replica{
		opts:      opts,
		addresses: newAddressBook(opts.Peers, opts.Seeds != nil),
		counters:  newCounters(),
		proposals: make(chan *proposal, maxProposalBatch),
		inbox:     make(chan []raft.Message, inboxCapacity),
		tasks:     make(chan func()),
		changed:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if err := r.load(); err != nil {
		r.cancel()
		return nil, err
	}
	r.sender = &sender{
		caller: opts.Caller, addresses: r.addresses, addr: opts.Addr, ctx: r.ctx, counters: r.counters,
		timeout:    max(time.Second, opts.Tick*time.Duration(opts.ElectionTicks)),
		onReplaced: r.stopReplaced, queues: map[ids.VMID]*sendQueue{},
	}
	r.publishView()
	go r.run()
	if opts.Seeds != nil {
		r.background.Go(r.joinBySeeds)
	} else {
		r.background.Go(r.joinByPeers)
	}
	return r, nil
}

// load reads the files and restores the state machine.
func (r *Replica) load() error {
	// The new incarnation is used only if the directory is empty. It must
	// exceed that of the lost disk, which wall time in microseconds does; the
	// leader rejects an incarnation that is not higher.
	fresh := raft.ReplicaID{VM: r.opts.Self, Incarnation: ids.Incarnation(time.Now().UnixMicro())}
	l, s, err := wal.Open(r.opts.FS, r.opts.Dir, wal.Identity{Group: r.opts.Group, Replica: fresh})
	if err != nil {
		return err
	}
	r.log, r.id, r.savedState = l, s.Identity.Replica, s.HardState
	if s.TornBytes > 0 {
		r.opts.Logger.Warn().Int64("bytes", s.TornBytes).Msg("control: truncated a torn tail of the log")
	}
	if s.Snapshot != nil {
		if err := r.opts.Machine.Restore(s.Snapshot.Data); err != nil {
			l.Abort()
			return err
		}
		r.applied, r.snapshotIndex = s.Snapshot.Index, s.Snapshot.Index
		r.snapshotBytes = int64(len(s.Snapshot.Data))
	}
	if err := r.startNode(raft.State{HardState: s.HardState, Snapshot: s.Snapshot, Entries: s.Entries}); err != nil {
		l.Abort()
		return err
	}
	return nil
}

func (r *Replica) startNode(s raft.State) error {
	cfg := raft.Config{
		ID: r.id, Group: r.opts.Group,
		ElectionTicks: r.opts.ElectionTicks, HeartbeatTicks: r.opts.HeartbeatTicks, VoteDelayTicks: r.opts.VoteDelayTicks,
		Seed: uint64(time.Now().UnixNano()),
	}
	node, err := raft.New(cfg, s)
	if err != nil {
		return err
	}
	r.node, r.epoch, r.pending = node, time.Now(), map[uint64]*proposal{}
	r.leaving = map[raft.ReplicaID]uint64{}
	return nil
}

// ID returns the replica's identity.
func (r *Replica) ID() raft.ReplicaID { return r.id }

// Group returns the replica's group.
func (r *Replica) Group() ids.GroupID { return r.opts.Group }

// Done returns a channel that is closed when the replica has stopped. Err then
// returns the reason.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the failure that stopped the replica, or nil after Close.
func (r *Replica) Err() error {
	r.errMu.Lock()
	defer r.errMu.Unlock()
	return r.err
}

// fail stops the replica for good; a write to a failed disk is not retried, one to
// a full disk is (see pause).
func (r *Replica) fail(err error) {
	r.errMu.Lock()
	if r.err == nil {
		r.err = err
		r.opts.Logger.Error().Err(err).Msg("control: replica stopped")
	}
	r.errMu.Unlock()
	r.cancel()
}

// stopReplaced stops a replica whose VM has joined under a newer incarnation.
func (r *Replica) stopReplaced(known raft.ReplicaID) {
	r.fail(&raft.StaleIdentityError{ID: r.id, Current: known})
}

// Do runs f on the replica's goroutine, where the state machine may be read.
// Values that f passes out must not be shared with the state machine.
func (r *Replica) Do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	task := func() {
		f()
		close(ran)
	}
	select {
	case r.tasks <- task:
		<-ran
		return nil
	case <-r.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Propose replicates cmd and returns its result. If the reply is not Done, it
// names the leader if that is known and another VM.
func (r *Replica) Propose(ctx context.Context, cmd command.Command) (wire.ProposeReply, error) {
	if v := r.published.Load(); !v.isLeader() {
		return wire.ProposeReply{Leader: r.leaderAddr(v)}, nil
	}
	p := &proposal{cmd: cmd, reply: make(chan wire.ProposeReply, 1)}
	r.counters.proposals.Inc()
	select {
	case r.proposals <- p:
	case <-r.done:
		return wire.ProposeReply{}, ErrStopped
	case <-ctx.Done():
		return wire.ProposeReply{}, ctx.Err()
	}
	select {
	case reply := <-p.reply:
		return reply, nil
	case <-r.done:
		return wire.ProposeReply{MayApply: true}, ErrStopped
	case <-ctx.Done():
		return wire.ProposeReply{MayApply: true}, ctx.Err()
	}
}

// leaderAddr returns the leader's address, or an empty string if the leader is
// unknown or this replica.
func (r *Replica) leaderAddr(v *view) string {
	if v.leader.IsZero() || v.leader == r.id {
		return ""
	}
	return r.addresses.addr(v.leader.VM)
}

// stateChanged returns a channel that is closed at the next change of the
// leader, the settings or the document.
func (r *Replica) stateChanged() <-chan struct{} {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	return r.changed
}

// waitLeader waits until a leader is known or ctx ends.
func (r *Replica) waitLeader(ctx context.Context) *view {
	for {
		changed := r.stateChanged()
		v := r.published.Load()
		if !v.leader.IsZero() {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v
		case <-r.done:
			return v
		}
	}
}

// leaderContext returns a context that also ends when leader is no longer the
// known leader. It ends a call to an unresponsive leader as soon as a new one
// is elected.
func (r *Replica) leaderContext(ctx context.Context, leader raft.ReplicaID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			changed := r.stateChanged()
			if r.published.Load().leader != leader {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			case <-r.done:
				return
			}
		}
	}()
	return ctx, cancel
}

// RemoveMember removes a VM's replica from the group.
func (r *Replica) RemoveMember(ctx context.Context, vm ids.VMID) error {
	var result error
	err := r.Do(ctx, func() {
		id, ok := r.node.Members().MemberOn(vm)
		if !ok {
			return
		}
		result = r.node.ProposeMembersChange(raft.MembersChange{Kind: raft.RemoveMember, ID: id})
	})
	return errors.Join(err, result)
}

// Close transfers leadership and hands over the vote unless ctx ends first, then
// flushes and closes the files.
func (r *Replica) Close(ctx context.Context) error {
	r.transferLeadership(ctx)
	r.handOverVote(ctx)
	r.cancel()
	<-r.done
	return r.Err()
}

// transferLeadership asks another voter to lead and waits until this replica no
// longer leads.
func (r *Replica) transferLeadership(ctx context.Context) {
	err := r.Do(ctx, func() { _ = r.node.TransferLeadership(raft.ReplicaID{}) })
	if err != nil {
		return
	}
	limit := time.Duration(2*r.opts.ElectionTicks) * r.opts.Tick
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		changed := r.stateChanged()
		v := r.published.Load()
		if !v.isLeader() || len(v.members.Voters) < 2 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-r.done:
			return
		}
	}
}

// abort stops the replica without flushing, as a crash would.
func (r *Replica) abort() {
	r.aborted.Store(true)
	r.cancel()
	<-r.done
}
