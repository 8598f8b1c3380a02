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

// ErrStopped says that the replica has ended.
var ErrStopped = errors.New("control: the replica has stopped; see the log for the reason and restart the process")

const (
	// proposalBatch bounds the proposals taken in one round. They share one
	// append and one sync.
	proposalBatch = 512
	inboxBatches  = 1024
)

// Replica runs one group on this VM. Its methods are safe for concurrent use.
type Replica struct {
	opts  Options
	book  *book
	send  *sender
	count *counters

	proposals chan *proposal
	inbox     chan []raft.Message
	tasks     chan func()
	published atomic.Pointer[view]
	// changed is closed and replaced when the leader or the settings change.
	changeMu sync.Mutex
	changed  chan struct{}

	cancel  context.CancelFunc
	ctx     context.Context
	helpers sync.WaitGroup
	done    chan struct{}
	errMu   sync.Mutex
	err     error
	aborted atomic.Bool

	// served is the encoded snapshot that a follower is fetching.
	served servedSnapshot

	loopState
}

// loopState belongs to the replica's goroutine.
type loopState struct {
	id   raft.ReplicaID
	log  *wal.Log
	node *raft.Node
	// epoch is the time of the node's tick 0.
	epoch   time.Time
	pending map[uint64]*proposal
	applied uint64
	saved   raft.HardState // as stored
	// leaderSince is when this replica's lease was first valid in leaderTerm.
	leaderTerm  uint64
	leaderSince time.Time
	snapshotAt  uint64 // index of the newest snapshot, stored or under way
	// appliedBytes counts the commands since then, snapshotBytes is the size
	// of the newest snapshot's data.
	appliedBytes  int64
	snapshotBytes int64
	saving        bool
	fetching      bool
}

// Open reads the group's files and starts the replica. Damaged files give a
// *wal.DamageError.
func Open(opts Options) (*Replica, error) {
	opts.setDefaults()
	if err := opts.check(); err != nil {
		return nil, err
	}
	r := &Replica{
		opts:      opts,
		book:      newBook(opts.Peers, opts.Seeds != nil),
		count:     newCounters(),
		proposals: make(chan *proposal, proposalBatch),
		inbox:     make(chan []raft.Message, inboxBatches),
		tasks:     make(chan func()),
		changed:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if err := r.load(); err != nil {
		r.cancel()
		return nil, err
	}
	r.send = &sender{
		caller: opts.Caller, book: r.book, addr: opts.Addr, ctx: r.ctx, count: r.count,
		timeout:  max(time.Second, opts.Tick*time.Duration(opts.ElectionTicks)),
		replaced: r.replacedBy, queues: map[ids.VMID]*sendQueue{},
	}
	r.publish()
	go r.run()
	if opts.Seeds != nil {
		r.helpers.Go(r.joinBySeeds)
	} else {
		r.helpers.Go(r.join)
	}
	return r, nil
}

// load reads the files and restores the state machine.
func (r *Replica) load() error {
	// The incarnation is used only if the folder is empty. Wall time grows
	// from one disk to the next; the leader refuses one that does not.
	fresh := raft.ReplicaID{VM: r.opts.Self, Incarnation: ids.Incarnation(time.Now().UnixMicro())}
	l, s, err := wal.Open(r.opts.FS, r.opts.Dir, wal.Identity{Group: r.opts.Group, Replica: fresh})
	if err != nil {
		return err
	}
	r.log, r.id, r.saved = l, s.Identity.Replica, s.HardState
	if s.TornBytes > 0 {
		r.opts.Logger.Warn().Int64("bytes", s.TornBytes).Msg("control: cut a torn tail off the log")
	}
	if s.Snapshot != nil {
		if err := r.opts.Machine.Restore(s.Snapshot.Data); err != nil {
			l.Abort()
			return err
		}
		r.applied, r.snapshotAt = s.Snapshot.Index, s.Snapshot.Index
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
		ElectionTicks: r.opts.ElectionTicks, HeartbeatTicks: r.opts.HeartbeatTicks, StartTicks: r.opts.StartTicks,
		Seed: uint64(time.Now().UnixNano()),
	}
	node, err := raft.New(cfg, s)
	if err != nil {
		return err
	}
	r.node, r.epoch, r.pending = node, time.Now(), map[uint64]*proposal{}
	return nil
}

// ID gives the replica's identity.
func (r *Replica) ID() raft.ReplicaID { return r.id }

// Group gives the replica's group.
func (r *Replica) Group() ids.GroupID { return r.opts.Group }

// Done is closed when the replica has ended; Err then says why.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err gives the failure that ended the replica, nil after Close.
func (r *Replica) Err() error {
	r.errMu.Lock()
	defer r.errMu.Unlock()
	return r.err
}

// fail ends the replica. A failed disk is not tried again.
func (r *Replica) fail(err error) {
	r.errMu.Lock()
	if r.err == nil {
		r.err = err
		r.opts.Logger.Error().Err(err).Msg("control: replica stopped")
	}
	r.errMu.Unlock()
	r.cancel()
}

// replacedBy ends a replica whose VM has joined under a newer incarnation.
func (r *Replica) replacedBy(known raft.ReplicaID) {
	r.fail(&raft.StaleIdentityError{ID: r.id, Known: known})
}

// Do runs f on the replica's goroutine, where the state machine may be read.
// What f leaves behind must not be shared with the state machine.
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

// Propose has cmd replicated and gives its result. A reply that is not Done
// names the leader, if it is another VM and known.
func (r *Replica) Propose(ctx context.Context, cmd command.Command) (wire.ProposeReply, error) {
	if v := r.published.Load(); !v.isLeader() {
		return wire.ProposeReply{Leader: r.leaderAddr(v)}, nil
	}
	p := &proposal{cmd: cmd, reply: make(chan wire.ProposeReply, 1)}
	r.count.proposals.Inc()
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

// leaderAddr gives the leader's address if it is another VM and known.
func (r *Replica) leaderAddr(v *view) string {
	if v.leader.IsZero() || v.leader == r.id {
		return ""
	}
	return r.book.addr(v.leader.VM)
}

// change gives a channel that is closed at the next change of the leader or of
// the settings.
func (r *Replica) change() <-chan struct{} {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	return r.changed
}

// waitLeader waits until a leader is known or ctx ends.
func (r *Replica) waitLeader(ctx context.Context) *view {
	for {
		changed := r.change()
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

// whileLed gives a context that also ends when the known leader is another
// than leader or none. A call to a leader that has fallen silent is given up
// as soon as a new one is elected.
func (r *Replica) whileLed(ctx context.Context, leader raft.ReplicaID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			changed := r.change()
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

// RemoveMember takes the replica of a VM out of the group.
func (r *Replica) RemoveMember(ctx context.Context, vm ids.VMID) error {
	var result error
	err := r.Do(ctx, func() {
		id, ok := r.node.Members().Of(vm)
		if !ok {
			return
		}
		result = r.node.ProposeMembers(raft.MembersChange{Kind: raft.RemoveMember, ID: id})
	})
	return errors.Join(err, result)
}

// Close hands leadership over, if ctx allows, flushes and closes the files.
func (r *Replica) Close(ctx context.Context) error {
	r.handOver(ctx)
	r.cancel()
	<-r.done
	return r.Err()
}

// handOver asks another voter to lead and waits until this replica does not.
func (r *Replica) handOver(ctx context.Context) {
	err := r.Do(ctx, func() { _ = r.node.TransferLeadership(raft.ReplicaID{}) })
	if err != nil {
		return
	}
	limit := time.Duration(2*r.opts.ElectionTicks) * r.opts.Tick
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		changed := r.change()
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

// abort ends the replica as a crash would.
func (r *Replica) abort() {
	r.aborted.Store(true)
	r.cancel()
	<-r.done
}
