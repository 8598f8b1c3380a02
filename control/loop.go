package control

import (
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/wal"
	"damaskbridge.example/damaskbridge/wire"
)

// proposal waits for its entry to be applied.
type proposal struct {
	cmd   command.Command
	term  uint64
	reply chan wire.ProposeReply // of capacity 1
}

// run is the replica's goroutine.
func (r *Replica) run() {
	defer close(r.done)
	ticker := time.NewTicker(r.opts.Tick)
	defer ticker.Stop()
	for r.ctx.Err() == nil {
		select {
		case <-r.ctx.Done():
		case <-ticker.C:
			r.catchUp()
		case list := <-r.inbox:
			r.catchUp()
			r.step(list)
		case p := <-r.proposals:
			r.catchUp()
			r.propose(p)
		case task := <-r.tasks:
			r.catchUp()
			task()
		}
		r.takeWaiting()
		if err := r.handleReady(); err != nil {
			r.fail(err)
			break
		}
		r.publish()
	}
	r.end()
}

// catchUp lets the node's time reach the present. It runs before every event,
// because a message that is handled with an old time would shorten the promise
// to the leader, and a lease read with an old time would lengthen the lease.
func (r *Replica) catchUp() {
	now := time.Now()
	limit := uint64(4 * r.opts.ElectionTicks)
	due := uint64(max(0, now.Sub(r.epoch)/r.opts.Tick))
	behind := due - min(due, r.node.Now())
	for range min(behind, limit) {
		r.node.Tick()
	}
	if behind > limit {
		// Any lease and promise has ended; the rest of the pause is skipped.
		r.epoch = now.Add(-time.Duration(r.node.Now()) * r.opts.Tick)
	}
}

// takeWaiting takes what arrived meanwhile, so that it shares one sync.
func (r *Replica) takeWaiting() {
	for range proposalBatch {
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
	if p.cmd.Publish != nil {
		if err := r.enoughCopies(); err != nil {
			r.opts.Logger.Warn().Err(err).Uint64("version", p.cmd.Publish.Version).Msg("control: document refused")
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
			if id := r.node.Leader(); id != r.id {
				reply.Leader = r.book.addr(id.VM)
			}
		}
		p.reply <- reply
		return
	}
	p.term = term
	r.pending[index] = p
}

func (r *Replica) step(list []raft.Message) {
	for _, m := range list {
		if m.Type == raft.MsgSnapshot && m.To == r.id && r.node.NeedsSnapshot(m.Snapshot) && m.Snapshot.Data == nil {
			r.fetchSnapshot(m)
		}
		// A stale sender was told by the server already.
		_ = r.node.Step(m)
	}
}

// handleReady stores, sends and applies until the node has nothing left.
func (r *Replica) handleReady() error {
	for {
		rd, ok := r.node.Ready()
		if !ok {
			return nil
		}
		r.send.send(rd.Early)
		if err := r.store(&rd); err != nil {
			return err
		}
		r.send.send(rd.Messages)
		if rd.Snapshot != nil {
			if err := r.restore(rd.Snapshot); err != nil {
				return err
			}
		}
		r.apply(rd.Committed)
		r.node.Advance()
		r.dropPending()
		r.maybeSnapshot()
	}
}

// store makes the Ready durable. A commit index alone is not stored: a restart
// learns it again from the leader.
func (r *Replica) store(rd *raft.Ready) error {
	if rd.Snapshot == nil && len(rd.Entries) == 0 && !r.mustKeep(rd.HardState) {
		return nil
	}
	start := time.Now()
	if rd.Snapshot != nil {
		if err := r.log.SaveSnapshot(*rd.Snapshot); err != nil {
			return err
		}
	}
	err := r.log.Save(wal.Batch{Reset: rd.Snapshot, Entries: rd.Entries, HardState: rd.HardState})
	r.count.saveSeconds.UpdateDuration(start)
	if rd.HardState != nil {
		r.saved = *rd.HardState
	}
	return err
}

// mustKeep says whether a term or vote is new.
func (r *Replica) mustKeep(h *raft.HardState) bool {
	return h != nil && (h.Term != r.saved.Term || h.Vote != r.saved.Vote)
}

func (r *Replica) apply(entries []raft.Entry) {
	for _, e := range entries {
		r.applied = e.Index
		r.appliedBytes += int64(len(e.Data))
		p := r.pending[e.Index]
		delete(r.pending, e.Index)
		if e.Kind != raft.EntryCommand {
			p.refuse()
			continue
		}
		result := r.opts.Machine.Apply(e.Index, e.Data)
		r.count.applied.Inc()
		if p != nil && p.term == e.Term {
			p.reply <- wire.ProposeReply{Done: true, Result: result}
		} else {
			p.refuse()
		}
	}
}

// refuse answers a proposal whose place in the log was taken by another entry.
// It has certainly not been applied.
func (p *proposal) refuse() {
	if p != nil {
		p.reply <- wire.ProposeReply{}
	}
}

// dropPending answers what a replica that lost leadership cannot decide. The
// commands are idempotent, so their callers try again at the new leader.
func (r *Replica) dropPending() {
	if r.node.Role() == raft.Leader || len(r.pending) == 0 {
		return
	}
	reply := wire.ProposeReply{MayApply: true}
	if id := r.node.Leader(); !id.IsZero() {
		reply.Leader = r.book.addr(id.VM)
	}
	for index, p := range r.pending {
		r.count.proposalsLost.Inc()
		p.reply <- reply
		delete(r.pending, index)
	}
}

// publish gives the others a new view.
func (r *Replica) publish() {
	s := r.node.Status()
	old := r.published.Load()
	v := &view{
		role: s.Role, term: s.Term, leader: s.Leader, members: s.Members,
		commit: s.Commit, applied: r.applied, snapshot: s.Snapshot, match: s.Match,
		settings: r.opts.Views.Settings(),
	}
	if r.opts.Views.Document != nil {
		v.document = r.opts.Views.Document()
	}
	if round, ok := r.node.LeaseRound(); ok {
		v.proof = r.epoch.Add(time.Duration(round) * r.opts.Tick)
		if r.leaderTerm != s.Term {
			r.leaderTerm, r.leaderSince = s.Term, time.Now()
		}
	}
	if s.Role == raft.Leader && r.leaderTerm == s.Term {
		v.leaderSince = r.leaderSince
	}
	r.published.Store(v)
	if old == nil || old.leader != v.leader || old.role != v.role || old.leaderSince != v.leaderSince || old.settings.Version() != v.settings.Version() || old.document != v.document {
		if old != nil && old.leader != v.leader && !v.leader.IsZero() {
			r.count.elections.Inc()
			r.opts.Logger.Info().Str("leader", v.leader.String()).Uint64("term", v.term).Msg("control: leader changed")
		}
		r.changeMu.Lock()
		close(r.changed)
		r.changed = make(chan struct{})
		r.changeMu.Unlock()
	}
}

// end answers what waits and closes the files.
func (r *Replica) end() {
	r.cancel()
	for _, p := range r.pending {
		p.reply <- wire.ProposeReply{MayApply: true}
	}
	r.send.calls.Wait()
	r.helpers.Wait()
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
