package raft

import (
	"bytes"
	"fmt"
	"slices"

	"damaskbridge.example/damaskbridge/ids"
	"github.com/fxamacker/cbor/v2"
)

// fatalReporter is the part of *rapid.T and of ginkgo's T that the network uses.
type fatalReporter interface {
	Fatalf(format string, args ...any)
}

const (
	testElectionTicks  = 10
	testHeartbeatTicks = 2
)

// disk holds the durable state of a replica. It survives a crash.
type disk struct {
	hardState HardState
	snapshot  *Snapshot
	entries   []Entry
}

// store writes the state of a Ready that must be durable.
func (d *disk) store(r *Ready) {
	if r.HardState != nil {
		d.hardState = *r.HardState
	}
	if r.Snapshot != nil {
		d.snapshot, d.entries = r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index >= first })
		d.entries = append(d.entries, r.Entries...)
	}
}

// replica is one VM of the network and its replica.
type replica struct {
	id   ReplicaID
	disk disk
	node *Node // nil while the VM is down
	// While full is true the disk stores nothing. kept is the Ready that waits for
	// it; the node then gets neither messages nor ticks.
	full    bool
	kept    *Ready
	applied [][]byte
	// clockRatePercent is the speed of the VM's clock, clockCreditPercent the
	// fraction of the next tick that has already elapsed.
	clockRatePercent   int
	clockCreditPercent int
}

// network simulates a group of replicas. It drops and reorders their messages
// and checks the Raft invariants after each step.
type network struct {
	t        fatalReporter
	replicas map[ids.VMID]*replica
	vms      []ids.VMID
	messages []Message
	// Messages of partitioned links are dropped, those of delayed links are
	// kept until the delay ends. A link is a sender and a receiver.
	partitioned  map[[2]ids.VMID]bool
	delayed      map[[2]ids.VMID]bool
	leaders      map[uint64]ReplicaID
	committed    map[uint64]Entry
	maxCommitted uint64 // highest committed index seen anywhere
	// replacedVM is the VM that lost its disk and whose new incarnation is not
	// yet a voter; empty if there is none.
	replacedVM ids.VMID
	seed       uint64
	// voteDelayTicks is the VoteDelayTicks of replicas that are started from now
	// on.
	voteDelayTicks int
}

func newNetwork(t fatalReporter, vms ...ids.VMID) *network {
	n := &network{
		t: t, vms: vms, replicas: map[ids.VMID]*replica{}, partitioned: map[[2]ids.VMID]bool{}, delayed: map[[2]ids.VMID]bool{},
		leaders: map[uint64]ReplicaID{}, committed: map[uint64]Entry{},
	}
	var members Members
	for _, vm := range vms {
		members.Voters = append(members.Voters, ReplicaID{VM: vm, Incarnation: 1})
	}
	for i, id := range members.Voters {
		s := Bootstrap(members)
		s.Snapshot.Data = mustCBOR([][]byte{})
		r := &replica{id: id, clockRatePercent: 95 + 5*(i%3), disk: disk{hardState: s.HardState, snapshot: s.Snapshot}}
		n.replicas[id.VM] = r
		n.start(r)
	}
	return n
}

func mustCBOR(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func (n *network) start(r *replica) {
	n.seed++
	cfg := Config{ID: r.id, Group: 1, ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeatTicks, VoteDelayTicks: n.voteDelayTicks, Seed: n.seed, MaxMessageBytes: 100, MaxInflight: 4}
	node, err := New(cfg, State{HardState: r.disk.hardState, Snapshot: r.disk.snapshot, Entries: r.disk.entries})
	if err != nil {
		n.t.Fatalf("restart of %s: %v", r.id, err)
	}
	r.node, r.applied, r.kept = node, nil, nil
	if s := r.disk.snapshot; s != nil {
		r.restore(s.Data)
	}
}

func (r *replica) restore(data []byte) {
	r.applied = nil
	if err := cbor.Unmarshal(data, &r.applied); err != nil {
		panic(err)
	}
}

// crashPoint selects where a VM crashes while it processes a Ready.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeSync
	crashAfterSync
)

// processReady processes all Readys of a replica.
func (n *network) processReady(r *replica, crash crashPoint) {
	for r.node != nil {
		if r.kept != nil && r.full {
			return
		}
		rd, ok := r.nextReady()
		if !ok {
			break
		}
		n.enqueue(rd.Immediate)
		if r.full && rd.MustSync() {
			rd.Immediate, r.kept = nil, &rd
			n.enqueue(r.node.StepDown())
			return
		}
		if crash == crashBeforeSync {
			r.node = nil
			return
		}
		r.disk.store(&rd)
		if crash == crashAfterSync {
			r.node = nil
			return
		}
		n.enqueue(rd.Messages)
		if rd.Snapshot != nil {
			r.restore(rd.Snapshot.Data)
		}
		for _, e := range rd.Committed {
			n.apply(r, e)
		}
		r.node.Advance()
		n.checkLeader(r)
	}
}

func (r *replica) nextReady() (Ready, bool) {
	if rd := r.kept; rd != nil {
		r.kept = nil
		return *rd, true
	}
	return r.node.Ready()
}

// runs reports whether the node may be called.
func (r *replica) runs() bool { return r.node != nil && r.kept == nil }

// apply verifies that an index is never committed with two different entries.
func (n *network) apply(r *replica, e Entry) {
	if first, ok := n.committed[e.Index]; ok && (first.Term != e.Term || !bytes.Equal(first.Data, e.Data)) {
		n.t.Fatalf("index %d: %s committed term %d %q, earlier committed was term %d %q", e.Index, r.id, e.Term, e.Data, first.Term, first.Data)
	}
	n.committed[e.Index] = e
	if e.Kind == EntryCommand {
		r.applied = append(r.applied, e.Data)
	}
}

func (n *network) enqueue(list []Message) {
	for _, m := range list {
		if !n.partitioned[[2]ids.VMID{m.From.VM, m.To.VM}] {
			n.messages = append(n.messages, m)
		}
	}
}

// deliver delivers the message at i and, if duplicate is set, keeps it queued.
func (n *network) deliver(i int, duplicate bool, crash crashPoint) {
	m := n.messages[i]
	if !duplicate {
		n.messages = slices.Delete(n.messages, i, i+1)
	}
	r := n.replicas[m.To.VM]
	if !r.runs() || n.partitioned[[2]ids.VMID{m.From.VM, m.To.VM}] {
		return
	}
	if m.Type == MsgSnapshot && r.node.NeedsSnapshotData(m.Snapshot) {
		m = n.withSnapshotData(m)
	}
	// The only possible error is that of a stale identity.
	_ = r.node.Step(m)
	n.processReady(r, crash)
}

func (n *network) withSnapshotData(m Message) Message {
	from := n.replicas[m.From.VM]
	if s := from.disk.snapshot; s != nil && s.Index == m.Snapshot.Index {
		m.Snapshot = s
	}
	return m
}

// tick advances the clock of every VM by one tick at its own rate.
func (n *network) tick() {
	for _, vm := range n.vms {
		r := n.replicas[vm]
		r.clockCreditPercent += r.clockRatePercent
		for r.clockCreditPercent >= 100 {
			r.clockCreditPercent -= 100
			if r.runs() {
				r.node.Tick()
				n.processReady(r, noCrash)
			}
		}
	}
	n.checkLeases()
}

// run advances time by the given number of ticks and delivers all messages that
// are not delayed, in order.
func (n *network) run(ticks int) {
	for range ticks {
		n.tick()
		n.deliverAll()
		n.checkLeases()
	}
}

func (n *network) deliverAll() {
	for i := 0; i < len(n.messages); {
		m := n.messages[i]
		if n.delayed[[2]ids.VMID{m.From.VM, m.To.VM}] {
			i++
			continue
		}
		n.deliver(i, false, noCrash)
	}
}

func (n *network) leader() *replica {
	var found *replica
	for _, vm := range n.vms {
		r := n.replicas[vm]
		if r.node != nil && r.node.role == Leader && (found == nil || r.node.term > found.node.term) {
			found = r
		}
	}
	return found
}

func (n *network) propose(r *replica, data string) bool {
	if r == nil || !r.runs() {
		return false
	}
	_, _, err := r.node.Propose([]byte(data))
	n.processReady(r, noCrash)
	return err == nil
}

// takeSnapshot stores the applied state of r and compacts its log.
func (n *network) takeSnapshot(r *replica) {
	if r.node == nil || r.node.log.applied <= r.node.snapshot.Index {
		return
	}
	s := r.node.SnapshotMetadata(r.node.log.applied)
	s.Data = mustCBOR(r.applied)
	r.disk.snapshot = &s
	r.disk.entries = slices.DeleteFunc(slices.Clone(r.disk.entries), func(e Entry) bool { return e.Index <= s.Index })
	r.node.SnapshotStored(s, s.Index)
}

// loseDisk restarts r's VM with an empty disk under a new incarnation.
func (n *network) loseDisk(r *replica) {
	r.disk = disk{}
	r.id.Incarnation++
	n.replacedVM = r.id.VM
	n.start(r)
}

// rejoinReplaced proposes the next membership change that makes the VM that
// lost its disk a voter again.
func (n *network) rejoinReplaced() {
	l := n.leader()
	if l == nil || n.replacedVM == "" {
		return
	}
	id := n.replicas[n.replacedVM].id
	switch {
	case l.node.log.membersAt(l.node.log.commit).IsVoter(id):
		n.replacedVM = ""
		return
	case l.node.Members().IsLearner(id):
		_ = l.node.ProposeMembersChange(MembersChange{Kind: PromoteLearner, ID: id})
	default:
		_ = l.node.ProposeMembersChange(MembersChange{Kind: AddLearner, ID: id})
	}
	n.processReady(l, noCrash)
}

func (n *network) String() string {
	var b bytes.Buffer
	for _, vm := range n.vms {
		if node := n.replicas[vm].node; node != nil {
			fmt.Fprintf(&b, "%s %s term %d commit %d last %d; ", node.cfg.ID, node.role, node.term, node.log.commit, node.log.lastIndex())
		}
	}
	return b.String()
}
