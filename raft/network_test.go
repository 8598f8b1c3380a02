package raft

import (
	"bytes"
	"fmt"
	"slices"

	"damaskbridge.example/damaskbridge/ids"
	"github.com/fxamacker/cbor/v2"
)

// failer is the part of *rapid.T and of ginkgo that the network needs.
type failer interface {
	Fatalf(format string, args ...any)
}

const (
	testElectionTicks  = 10
	testHeartbeatTicks = 2
)

// disk is what survives a crash.
type disk struct {
	hard     HardState
	snapshot *Snapshot
	entries  []Entry
}

// store takes what a Ready asks to be stored.
func (d *disk) store(r *Ready) {
	if r.HardState != nil {
		d.hard = *r.HardState
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

// replica is one VM of the network.
type replica struct {
	id      ReplicaID
	disk    disk
	node    *Node // nil while the VM is down
	applied [][]byte
	// rate is the speed of the VM's clock in percent, credit its unused part
	// of a tick.
	rate   int
	credit int
}

// network runs replicas, loses and reorders their messages and checks after
// each step what must always hold.
type network struct {
	t        failer
	replicas map[ids.VMID]*replica
	vms      []ids.VMID
	messages []Message
	// cut links lose their messages, held links keep them for later.
	cut        map[[2]ids.VMID]bool
	held       map[[2]ids.VMID]bool
	leaders    map[uint64]ReplicaID
	committed  map[uint64]Entry
	newest     uint64 // highest committed index seen anywhere
	unrepaired ids.VMID
	seed       uint64
	// startTicks is that of the replicas that are started from now on.
	startTicks int
}

func newNetwork(t failer, vms ...ids.VMID) *network {
	n := &network{
		t: t, vms: vms, replicas: map[ids.VMID]*replica{}, cut: map[[2]ids.VMID]bool{}, held: map[[2]ids.VMID]bool{},
		leaders: map[uint64]ReplicaID{}, committed: map[uint64]Entry{},
	}
	var members Members
	for _, vm := range vms {
		members.Voters = append(members.Voters, ReplicaID{VM: vm, Incarnation: 1})
	}
	for i, id := range members.Voters {
		s := Bootstrap(members)
		s.Snapshot.Data = mustCBOR([][]byte{})
		r := &replica{id: id, rate: 95 + 5*(i%3), disk: disk{hard: s.HardState, snapshot: s.Snapshot}}
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
	cfg := Config{ID: r.id, Group: 1, ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeatTicks, StartTicks: n.startTicks, Seed: n.seed, MaxMessageBytes: 100, MaxInflight: 4}
	node, err := New(cfg, State{HardState: r.disk.hard, Snapshot: r.disk.snapshot, Entries: r.disk.entries})
	if err != nil {
		n.t.Fatalf("restart of %s: %v", r.id, err)
	}
	r.node, r.applied = node, nil
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

// crashPoint says where in the handling of a Ready a VM crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeSync
	crashAfterSync
)

// drain handles all that a replica has to do.
func (n *network) drain(r *replica, crash crashPoint) {
	for r.node != nil {
		rd, ok := r.node.Ready()
		if !ok {
			break
		}
		n.post(rd.Early)
		if crash == crashBeforeSync {
			r.node = nil
			return
		}
		r.disk.store(&rd)
		if crash == crashAfterSync {
			r.node = nil
			return
		}
		n.post(rd.Messages)
		if rd.Snapshot != nil {
			r.restore(rd.Snapshot.Data)
		}
		for _, e := range rd.Committed {
			n.apply(r, e)
		}
		r.node.Advance()
		n.check(r)
	}
}

func (n *network) apply(r *replica, e Entry) {
	if first, ok := n.committed[e.Index]; ok && (first.Term != e.Term || !bytes.Equal(first.Data, e.Data)) {
		n.t.Fatalf("index %d: %s committed term %d %q, earlier committed was term %d %q", e.Index, r.id, e.Term, e.Data, first.Term, first.Data)
	}
	n.committed[e.Index] = e
	if e.Kind == EntryCommand {
		r.applied = append(r.applied, e.Data)
	}
}

// check verifies election safety, leader completeness and the lease.
func (n *network) check(r *replica) {
	node := r.node
	if node.role == Leader {
		if other, ok := n.leaders[node.term]; ok && other != r.id {
			n.t.Fatalf("term %d has two leaders, %s and %s", node.term, other, r.id)
		}
		if _, ok := n.leaders[node.term]; !ok {
			n.leaders[node.term] = r.id
			n.checkComplete(r)
		}
	}
	n.newest = max(n.newest, node.log.commit)
}

// checkComplete verifies that a new leader holds every committed entry.
func (n *network) checkComplete(r *replica) {
	l := r.node.log
	if l.last() < n.newest {
		n.t.Fatalf("leader %s of term %d ends at %d, committed is %d", r.id, r.node.term, l.last(), n.newest)
	}
	for index, e := range n.committed {
		if term, ok := l.term(index); ok && term != e.Term {
			n.t.Fatalf("leader %s of term %d has term %d at %d, committed is term %d", r.id, r.node.term, term, index, e.Term)
		}
	}
}

// checkLeases verifies that no replica would serve a stale read now.
func (n *network) checkLeases() {
	for _, vm := range n.vms {
		node := n.replicas[vm].node
		if node == nil {
			continue
		}
		if index, ok := node.ReadIndex(); ok && index < n.newest {
			n.t.Fatalf("%s serves reads at %d in term %d, committed is %d", node.cfg.ID, index, node.term, n.newest)
		}
	}
}

// checkLogs verifies log matching between all pairs.
func (n *network) checkLogs() {
	for _, a := range n.vms {
		for _, b := range n.vms {
			n.checkPair(n.replicas[a].node, n.replicas[b].node)
		}
	}
}

func (n *network) checkPair(a, b *Node) {
	if a == nil || b == nil || a == b {
		return
	}
	matched := false
	for i := min(a.log.last(), b.log.last()); i > max(a.log.base, b.log.base); i-- {
		ea, eb := a.log.entries[i-a.log.base-1], b.log.entries[i-b.log.base-1]
		same := ea.Term == eb.Term
		if same && !bytes.Equal(ea.Data, eb.Data) || matched && !same {
			n.t.Fatalf("logs of %s and %s differ at %d: %+v, %+v", a.cfg.ID, b.cfg.ID, i, ea, eb)
		}
		matched = same
	}
}

func (n *network) post(list []Message) {
	for _, m := range list {
		if !n.cut[[2]ids.VMID{m.From.VM, m.To.VM}] {
			n.messages = append(n.messages, m)
		}
	}
}

// deliver hands over the message at i and keeps it if it is duplicated.
func (n *network) deliver(i int, duplicate bool, crash crashPoint) {
	m := n.messages[i]
	if !duplicate {
		n.messages = slices.Delete(n.messages, i, i+1)
	}
	r := n.replicas[m.To.VM]
	if r.node == nil || n.cut[[2]ids.VMID{m.From.VM, m.To.VM}] {
		return
	}
	if m.Type == MsgSnapshot && r.node.NeedsSnapshot(m.Snapshot) {
		m = n.withData(m)
	}
	// A stale identity is refused; nothing else fails.
	_ = r.node.Step(m)
	n.drain(r, crash)
}

func (n *network) withData(m Message) Message {
	from := n.replicas[m.From.VM]
	if s := from.disk.snapshot; s != nil && s.Index == m.Snapshot.Index {
		m.Snapshot = s
	}
	return m
}

// pass lets a tick's worth of time pass on every running VM.
func (n *network) pass() {
	for _, vm := range n.vms {
		r := n.replicas[vm]
		r.credit += r.rate
		for r.credit >= 100 {
			r.credit -= 100
			if r.node != nil {
				r.node.Tick()
				n.drain(r, noCrash)
			}
		}
	}
	n.checkLeases()
}

// settle delivers everything that is not held, in order, for the given number
// of ticks.
func (n *network) settle(ticks int) {
	for range ticks {
		n.pass()
		n.flush()
		n.checkLeases()
	}
}

func (n *network) flush() {
	for i := 0; i < len(n.messages); {
		m := n.messages[i]
		if n.held[[2]ids.VMID{m.From.VM, m.To.VM}] {
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
	if r == nil || r.node == nil {
		return false
	}
	_, _, err := r.node.Propose([]byte(data))
	n.drain(r, noCrash)
	return err == nil
}

// takeSnapshot stores the applied state of r and compacts its log.
func (n *network) takeSnapshot(r *replica) {
	if r.node == nil || r.node.log.applied <= r.node.snapshot.Index {
		return
	}
	s := r.node.SnapshotAt(r.node.log.applied)
	s.Data = mustCBOR(r.applied)
	r.disk.snapshot = &s
	r.disk.entries = slices.DeleteFunc(slices.Clone(r.disk.entries), func(e Entry) bool { return e.Index <= s.Index })
	r.node.SnapshotStored(s, s.Index)
}

// loseDisk restarts r's VM with an empty disk under a new incarnation.
func (n *network) loseDisk(r *replica) {
	r.disk = disk{}
	r.id.Incarnation++
	n.unrepaired = r.id.VM
	n.start(r)
}

// repair moves the VM that lost its disk one step towards being a voter.
func (n *network) repair() {
	l := n.leader()
	if l == nil || n.unrepaired == "" {
		return
	}
	id := n.replicas[n.unrepaired].id
	switch {
	case l.node.log.membersAt(l.node.log.commit).IsVoter(id):
		n.unrepaired = ""
		return
	case l.node.Members().IsLearner(id):
		_ = l.node.ProposeMembers(MembersChange{Kind: PromoteLearner, ID: id})
	default:
		_ = l.node.ProposeMembers(MembersChange{Kind: AddLearner, ID: id})
	}
	n.drain(l, noCrash)
}

func (n *network) String() string {
	var b bytes.Buffer
	for _, vm := range n.vms {
		if node := n.replicas[vm].node; node != nil {
			fmt.Fprintf(&b, "%s %s term %d commit %d last %d; ", node.cfg.ID, node.role, node.term, node.log.commit, node.log.last())
		}
	}
	return b.String()
}
