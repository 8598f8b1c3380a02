package control

import (
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/wal"
	"damaskbridge.example/damaskbridge/wire"
)

// proposal is a command whose log entry has not been applied yet.
type proposal struct {
	cmd   command.Command
	term  uint64
	reply chan wire.ProposeReply // capacity 1
}

// run is the event loop of the replica's goroutine.
func (r *Replica) run() {
	defer close(r.done)
	ticker := time.NewTicker(r.opts.Tick)
	defer ticker.Stop()
	for r.ctx.Err() == nil {
		select {
		case <-r.ctx.Done():
		case <-ticker.C:
			r.advanceClock()
		case list := <-r.inbox:
			r.advanceClock()
			r.step(list)
		case p := <-r.proposals:
			r.advanceClock()
			r.propose(p)
		case task := <-r.tasks:
			r.advanceClock()
			task()
		}
		r.handleQueued()
		if err := r.handleReady(); err != nil {
			r.fail(err)
			break
		}
		r.publishView()
	}
	r.shutDown()
}

// advanceClock advances the raft node to the present tick. It runs before every
// event: handling a message at an old tick would shorten the replica's promise
// to the leader not to vote for another, and reading a lease at an old tick
// would extend the lease. While the node is paused its clock stands still too: a
// tick could make it campaign before its Ready is stored.
func (r *Replica) advanceClock() {
	if r.paused() {
		return
	}
	now := time.Now()
	maxTicks := uint64(4 * r.opts.ElectionTicks)
	elapsed := uint64(max(0, now.Sub(r.epoch)/r.opts.Tick))
	behind := elapsed - min(elapsed, r.node.Now())
	for range min(behind, maxTicks) {
		r.node.Tick()
	}
	if behind > maxTicks {
		// Every lease and promise has expired by then; the remaining ticks are
		// skipped.
		r.epoch = now.Add(-time.Duration(r.node.Now()) * r.opts.Tick)
	}
}

// handleQueued handles what has arrived in the meantime, so that it shares one
// disk sync.
func (r *Replica) handleQueued() {
	for range maxProposalBatch {
		select {
		case p := <-r.proposals:
			r.propose(p)
		case list := <-r.inbox:
			r.step(list)
		default:
			return
		}
	}
}

func (r *Replica) propose(p *proposal) {
	if r.paused() {
		p.reply <- wire.ProposeReply{Leader: r.addressOfLeader()}
		return
	}
	if p.cmd.Publish != nil || p.cmd.Evacuate != nil {
		if err := r.checkCopies(); err != nil {
			r.opts.Logger.Warn().Err(err).Msg("control: document or evacuation refused")
			p.reply <- wire.ProposeReply{}
			return
		}
	}
	p.cmd.NowUnixMS = r.opts.Clock()
	data, err := command.Encode(&p.cmd)
	if err != nil {
		p.reply <- wire.ProposeReply{Done: true, Result: command.Result{Code: command.Malformed, Detail: err.Error()}}
		return
	}
	index, term, err := r.node.Propose(data)
	if err != nil {
		reply := wire.ProposeReply{}
		if errors.Is(err, raft.ErrNotLeader) {
			reply.Leader = r.addressOfLeader()
		}
		p.reply <- reply
		return
	}
	p.term = term
	r.pending[index] = p
}

// addressOfLeader returns the address of the leader, or an empty string if there
// is none or it is this replica.
func (r *Replica) addressOfLeader() string {
	s := r.node.Status()
	id, _ := r.knownLeader(&s)
	if id.IsZero() || id == r.id {
		return ""
	}
	return r.addresses.addr(id.VM)
}

func (r *Replica) step(list []raft.Message) {
	if r.paused() {
		r.observeLeader(list)
		return
	}
	for _, m := range list {
		if m.Type == raft.MsgSnapshot && m.To == r.id && r.node.NeedsSnapshotData(m.Snapshot) && m.Snapshot.Data == nil {
			r.fetchSnapshot(m)
		}
		// The server has already told a stale sender that it was replaced.
		_ = r.node.Step(m)
	}
}

// handleReady persists, sends and applies the node's output until there is no
// more, or until the disk is full.
func (r *Replica) handleReady() error {
	for {
		rd, ok := r.nextReady()
		if !ok {
			return nil
		}
		r.sender.send(rd.Immediate)
		err := r.persist(&rd)
		if wal.IsFull(err) {
			r.pause(rd, err)
			return nil
		}
		if err != nil {
			return err
		}
		r.resume()
		r.sender.send(rd.Messages)
		if rd.Snapshot != nil {
			if err := r.restoreSnapshot(rd.Snapshot); err != nil {
				return err
			}
		}
		r.apply(rd.Committed)
		r.node.Advance()
		r.abandonPending()
		r.maybeSnapshot()
	}
}

// persist makes the Ready durable. A Ready with nothing but a commit index is
// not stored, since a restarted replica learns the index from the leader.
func (r *Replica) persist(rd *raft.Ready) error {
	if rd.Snapshot == nil && len(rd.Entries) == 0 && !r.termOrVoteChanged(rd.HardState) {
		return nil
	}
	start := time.Now()
	if rd.Snapshot != r.full.snapshot {
		if err := r.log.SaveSnapshot(*rd.Snapshot); err != nil {
			return err
		}
		r.full.snapshot = rd.Snapshot
	}
	if err := r.log.Save(wal.Batch{Reset: rd.Snapshot, Entries: rd.Entries, HardState: rd.HardState}); err != nil {
		return err
	}
	r.full.snapshot = nil
	r.counters.saveSeconds.UpdateDuration(start)
	if rd.HardState != nil {
		r.savedState = *rd.HardState
	}
	return nil
}

// termOrVoteChanged reports whether h has a term or vote that is not stored
// yet.
func (r *Replica) termOrVoteChanged(h *raft.HardState) bool {
	return h != nil && (h.Term != r.savedState.Term || h.Vote != r.savedState.Vote)
}

func (r *Replica) apply(entries []raft.Entry) {
	for _, e := range entries {
		r.applied = e.Index
		r.appliedBytes += int64(len(e.Data))
		p := r.pending[e.Index]
		delete(r.pending, e.Index)
		if e.Kind != raft.EntryCommand {
			p.reject()
			continue
		}
		result := r.opts.Machine.Apply(e.Index, e.Data)
		r.counters.applied.Inc()
		if p != nil && p.term == e.Term {
			p.reply <- wire.ProposeReply{Done: true, Result: result}
		} else {
			p.reject()
		}
	}
}

// reject answers a proposal whose log index was taken by another entry. Its
// command has certainly not been applied.
func (p *proposal) reject() {
	if p != nil {
		p.reply <- wire.ProposeReply{}
	}
}

// abandonPending answers the pending proposals after a loss of leadership, when
// this replica cannot tell whether they will commit. The commands are
// idempotent, so their callers retry at the new leader.
func (r *Replica) abandonPending() {
	if r.node.Role() == raft.Leader || len(r.pending) == 0 {
		return
	}
	reply := wire.ProposeReply{MayApply: true}
	if id := r.node.Leader(); !id.IsZero() {
		reply.Leader = r.addresses.addr(id.VM)
	}
	for index, p := range r.pending {
		r.counters.proposalsUndecided.Inc()
		p.reply <- reply
		delete(r.pending, index)
	}
}

// publishView publishes a new view and wakes the waiters for a change.
func (r *Replica) publishView() {
	s := r.node.Status()
	leader, term := r.knownLeader(&s)
	old := r.published.Load()
	v := &view{
		role: s.Role, term: term, leader: leader, members: s.Members,
		commit: s.Commit, applied: r.applied, snapshot: s.SnapshotIndex, match: s.Match,
		settings: r.opts.Views.Settings(), paused: r.paused(),
	}
	if r.opts.Views.Document != nil {
		v.document = r.opts.Views.Document()
	}
	if r.opts.Views.Evacuations != nil {
		v.evacuations = r.opts.Views.Evacuations()
	}
	if start, ok := r.node.LeaseStart(); ok {
		v.confirmedAt = r.epoch.Add(time.Duration(start) * r.opts.Tick)
		if r.leaderTerm != s.Term {
			r.leaderTerm, r.leaderSince = s.Term, time.Now()
		}
	}
	if s.Role == raft.Leader && r.leaderTerm == s.Term {
		v.leaderSince = r.leaderSince
	}
	r.published.Store(v)
	if old == nil || old.leader != v.leader || old.role != v.role || old.paused != v.paused || old.leaderSince != v.leaderSince || old.settings.Version() != v.settings.Version() || old.document != v.document || old.evacuations != v.evacuations {
		if old != nil && old.leader != v.leader && !v.leader.IsZero() {
			r.counters.leaderChanges.Inc()
			r.opts.Logger.Info().Str("leader", v.leader.String()).Uint64("term", v.term).Msg("control: leader changed")
		}
		r.changeMu.Lock()
		close(r.changed)
		r.changed = make(chan struct{})
		r.changeMu.Unlock()
	}
}

// shutDown answers the pending proposals and closes the files.
func (r *Replica) shutDown() {
	r.cancel()
	for _, p := range r.pending {
		p.reply <- wire.ProposeReply{MayApply: true}
	}
	r.sender.calls.Wait()
	r.background.Wait()
	if r.aborted.Load() {
		r.log.Abort()
		return
	}
	if err := r.log.Close(); err != nil && r.Err() == nil {
		r.errMu.Lock()
		r.err = err
		r.errMu.Unlock()
	}
}
