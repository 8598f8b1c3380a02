package raft

import (
	"hash/fnv"
	"math/rand/v2"
)

// Role is the role of a replica in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
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
	// hadLeader is true once this replica has had a leader since its start.
	hadLeader bool

	// now counts ticks since the start of the node.
	now uint64
	// electionElapsed counts ticks towards the next campaign, which starts at
	// electionTimeout, a random number of ticks.
	electionElapsed int
	electionTimeout int
	// ticksSinceLeader counts ticks since a message from a leader. The replica
	// withholds its vote while it is below ElectionTicks. At startup it is set
	// to reach that value after VoteDelayTicks, because the last contact with a
	// leader is not stored.
	ticksSinceLeader int

	votes map[ReplicaID]bool

	// Used only by a leader.
	peers            map[ReplicaID]*progress
	termStartIndex   uint64 // index of the first entry of this leader's term
	leaderSince      uint64 // tick at which this node became leader
	heartbeatElapsed int    // ticks since the last heartbeat
	uncommittedBytes int    // bytes of data in uncommitted entries
	transfer         transfer

	snapshot Snapshot // newest stored snapshot, without data

	// Output of the next Ready.
	immediate        []Message // sent before the sync
	messages         []Message // sent after the sync
	receivedSnapshot *Snapshot // restored, but not yet stored by the caller

	savedHardState HardState // last hard state stored by the caller
	// readyStable and readyApplied are the values of log.stable and log.applied
	// after the outstanding Ready.
	readyStable      uint64
	readyApplied     uint64
	readyOutstanding bool
}

// New returns a node that starts from its stored state.
func New(cfg Config, s State) (*Node, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
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
	n.savedHardState = n.hardState()
	n.ticksSinceLeader = cfg.ElectionTicks - cfg.VoteDelayTicks
	n.resetElectionTimeout()
	return n, nil
}

// Tick advances the node's time by one tick.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.ticksSinceLeader++
	n.electionElapsed++
	if n.electionElapsed < n.electionTimeout {
		return
	}
	n.resetElectionTimeout()
	if n.log.members().IsVoter(n.cfg.ID) {
		n.campaign(PreCandidate, false)
	}
}

// resetElectionTimeout restarts the election timer with a random timeout of at
// least ElectionTicks and less than twice as many. Until a replica has had a
// leader since its start, callers wait for one: it campaigns as soon as votes are
// granted, and again soon if the votes are split. The spread is then wider than
// the delay, because replicas that start together would often campaign together.
func (n *Node) resetElectionTimeout() {
	shortest, spread := n.cfg.ElectionTicks, n.cfg.ElectionTicks
	if !n.hadLeader {
		shortest = n.cfg.VoteDelayTicks
		spread = (n.cfg.VoteDelayTicks + n.cfg.ElectionTicks) / 2
	}
	n.electionElapsed = 0
	n.electionTimeout = shortest + n.rand.IntN(spread)
}

// Propose appends a command to the leader's log. The command is committed
// when an entry with this index and term appears in Ready.Committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if n.uncommittedBytes > 0 && n.uncommittedBytes+len(data) > n.cfg.MaxPendingBytes {
		return 0, 0, ErrTooManyPending
	}
	index, err = n.appendNew(EntryCommand, data)
	return index, n.term, err
}

func (n *Node) checkCanPropose() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.transfer.active() {
		return ErrTransferring
	}
	return nil
}

// ProposeMembersChange appends a membership change, which takes effect
// immediately. It fails with ErrChangePending while another change is not
// committed.
func (n *Node) ProposeMembersChange(c MembersChange) error {
	if err := n.checkCanPropose(); err != nil {
		return err
	}
	// Until it has committed an entry of its own term, a leader may hold a
	// membership that another leader has replaced.
	if n.log.changePending() || n.log.commit < n.termStartIndex {
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
	if _, err := n.appendNew(EntryMembers, data); err != nil {
		return err
	}
	n.syncPeers()
	n.maybeCommit()
	return nil
}

// caughtUp reports whether id has synced the committed log and has replied
// within the election timeout.
func (n *Node) caughtUp(id ReplicaID) bool {
	p, ok := n.peers[id]
	if !ok || p.ackedTick == 0 {
		return false
	}
	recent := p.ackedTick+uint64(n.cfg.ElectionTicks) > n.now
	return recent && p.match >= n.log.commit
}

// appendNew appends an entry of the current term and returns its index.
func (n *Node) appendNew(kind EntryKind, data []byte) (uint64, error) {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.uncommittedBytes += len(data)
	return e.Index, n.log.append(e)
}

// SnapshotStored informs the node that the caller has stored a snapshot.
// Entries up to compactTo are discarded.
func (n *Node) SnapshotStored(s Snapshot, compactTo uint64) {
	if s.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	n.log.compact(min(compactTo, s.Index))
}

// SnapshotMetadata returns the metadata of a snapshot of the state after index,
// which must be applied.
func (n *Node) SnapshotMetadata(index uint64) Snapshot {
	term, _ := n.log.term(index)
	return Snapshot{Index: index, Term: term, Members: n.log.membersAt(index)}
}

// send queues a message that is sent after the next sync.
func (n *Node) send(m Message) {
	m.Group, m.From = n.cfg.Group, n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// sendImmediately queues a leader's message that need not wait for the next
// sync, because the leader's term was synced before it requested votes.
func (n *Node) sendImmediately(m Message) {
	m.Group, m.From, m.Term = n.cfg.Group, n.cfg.ID, n.term
	n.immediate = append(n.immediate, m)
}
