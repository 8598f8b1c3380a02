package raft

import (
	"hash/fnv"
	"math/rand/v2"
)

// Role is what a replica is in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String gives the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is one replica of one group.
type Node struct {
	cfg  Config
	rand *rand.Rand
	log  *entryLog

	term   uint64
	vote   ReplicaID
	role   Role
	leader ReplicaID

	// now counts ticks since the start of the node.
	now uint64
	// elapsed counts ticks towards the next campaign, timeout is its random
	// target.
	elapsed int
	timeout int
	// sinceLeader counts ticks since a leader was heard. Below ElectionTicks
	// the replica votes for no other. After a start StartTicks are missing to
	// it, because a promise given before is not stored.
	sinceLeader int

	votes map[ReplicaID]bool

	// The fields below are the leader's.
	peers       map[ReplicaID]*progress
	termStart   uint64 // index of the first entry of this leader's term
	leaderSince uint64
	beat        int
	pending     int // bytes of uncommitted entries
	transfer    transfer

	snapshot Snapshot // newest stored snapshot, without data

	early       []Message
	messages    []Message
	restored    *Snapshot
	saved       HardState
	handing     uint64
	applying    uint64
	outstanding bool
}

// New makes a node from its stored state.
func New(cfg Config, s State) (*Node, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	l, err := newEntryLog(s)
	if err != nil {
		return nil, err
	}
	h := fnv.New64a()
	h.Write([]byte(cfg.ID.String()))
	n := &Node{
		cfg:  cfg,
		rand: rand.New(rand.NewPCG(cfg.Seed, h.Sum64())),
		log:  l,
		term: s.HardState.Term,
		vote: s.HardState.Vote,
	}
	if s.Snapshot != nil {
		n.snapshot = Snapshot{Index: s.Snapshot.Index, Term: s.Snapshot.Term, Members: s.Snapshot.Members}
		n.term = max(n.term, s.Snapshot.Term)
	}
	n.saved = n.hardState()
	n.sinceLeader = cfg.ElectionTicks - cfg.StartTicks
	n.drawTimeout(cfg.StartTicks)
	return n, nil
}

// Tick advances the node's time by one tick.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.sinceLeader++
	n.elapsed++
	if n.elapsed < n.timeout {
		return
	}
	n.resetTimeout()
	if n.log.members().IsVoter(n.cfg.ID) {
		n.campaign(PreCandidate, false)
	}
}

func (n *Node) resetTimeout() { n.drawTimeout(n.cfg.ElectionTicks) }

// drawTimeout begins a wait for a leader of least ticks up to twice as many.
func (n *Node) drawTimeout(least int) {
	n.elapsed = 0
	n.timeout = least + n.rand.IntN(least)
}

// Propose appends a command to the leader's log. The command is committed
// when an entry with this index and term comes out in Ready.Committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if n.pending > 0 && n.pending+len(data) > n.cfg.MaxPendingBytes {
		return 0, 0, ErrTooManyPending
	}
	index, err = n.appendOwn(EntryCommand, data)
	return index, n.term, err
}

func (n *Node) mayPropose() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.transfer.active() {
		return ErrTransferring
	}
	return nil
}

// ProposeMembers appends a membership change. It takes effect at once and is
// refused while another one is not committed.
func (n *Node) ProposeMembers(c MembersChange) error {
	if err := n.mayPropose(); err != nil {
		return err
	}
	// Before an entry of its own term is committed, a leader may hold a
	// membership that another leader has replaced.
	if n.log.changePending() || n.log.commit < n.termStart {
		return ErrChangePending
	}
	next, err := n.log.members().apply(c)
	if err != nil {
		return err
	}
	if c.Kind == PromoteLearner && !n.caughtUp(c.ID) {
		return ErrLearnerBehind
	}
	data, err := next.encode()
	if err != nil {
		return err
	}
	if _, err := n.appendOwn(EntryMembers, data); err != nil {
		return err
	}
	n.trackMembers()
	n.maybeCommit()
	return nil
}

// caughtUp says whether id has synced the committed log and answers.
func (n *Node) caughtUp(id ReplicaID) bool {
	p, ok := n.peers[id]
	if !ok || p.ackRound == 0 {
		return false
	}
	recent := p.ackRound+uint64(n.cfg.ElectionTicks) > n.now
	return recent && p.match >= n.log.commit
}

func (n *Node) appendOwn(kind EntryKind, data []byte) (uint64, error) {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.pending += len(data)
	return e.Index, n.log.append(e)
}

// SnapshotStored tells the node that the caller has stored a snapshot. Entries
// up to compactTo may be forgotten.
func (n *Node) SnapshotStored(s Snapshot, compactTo uint64) {
	if s.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	n.log.compact(min(compactTo, s.Index))
}

// SnapshotAt gives the frame of a snapshot of the state after index, which is
// applied.
func (n *Node) SnapshotAt(index uint64) Snapshot {
	term, _ := n.log.term(index)
	return Snapshot{Index: index, Term: term, Members: n.log.membersAt(index)}
}

func (n *Node) send(m Message) {
	m.Group, m.From = n.cfg.Group, n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// sendEarly queues a leader's message. The leader's term was synced before it
// asked for votes, so the message need not wait for another sync.
func (n *Node) sendEarly(m Message) {
	m.Group, m.From, m.Term = n.cfg.Group, n.cfg.ID, n.term
	n.early = append(n.early, m)
}
