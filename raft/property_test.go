package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"damaskbridge.example/damaskbridge/ids"
	"pgregory.net/rapid"
)

// TestSafety guards against two leaders in a term, diverging logs, lost or
// changed committed entries and stale lease reads, while messages are dropped,
// duplicated, delayed and reordered, links are partitioned in one direction,
// VMs crash and lose unsynced data, disks are full or lost and memberships change. The
// actions are chosen from a drawn seed, because rapid's own draws favour small
// values.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []ids.VMID{"a", "b", "c", "d", "e"}
		size := 3 + 2*(int(rapid.Uint64().Draw(t, "size")%3)/2)
		n := newNetwork(t, vms[:size]...)
		f := faultInjector{t: t, n: n, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		n.run(3 * testElectionTicks)
		for range rapid.IntRange(150, 400).Draw(t, "steps") {
			f.step()
			n.checkLeases()
		}
		n.checkLogs()
		f.recover()
	})
}

// faultInjector applies random faults and client actions to a network.
type faultInjector struct {
	t        *rapid.T
	n        *network
	rand     *rand.Rand
	proposed int
}

type weightedAction struct {
	weight int
	run    func(*faultInjector)
}

var actions = []weightedAction{
	{12, (*faultInjector).tick},
	{16, (*faultInjector).run},
	{12, (*faultInjector).deliver},
	{16, (*faultInjector).propose},
	{3, (*faultInjector).drop},
	{3, (*faultInjector).duplicate},
	{4, (*faultInjector).crashInReady},
	{2, (*faultInjector).crash},
	{6, (*faultInjector).restart},
	{2, (*faultInjector).partitionOneWay},
	{2, (*faultInjector).isolate},
	{2, (*faultInjector).delay},
	{6, (*faultInjector).heal},
	{3, (*faultInjector).snapshot},
	{1, (*faultInjector).transfer},
	{2, (*faultInjector).loseDisk},
	{4, (*faultInjector).fillDisk},
	{6, (*faultInjector).freeDisks},
	{6, (*faultInjector).rejoinReplaced},
}

func (f *faultInjector) step() {
	total := 0
	for _, w := range actions {
		total += w.weight
	}
	at := f.rand.IntN(total)
	for _, w := range actions {
		if at -= w.weight; at < 0 {
			w.run(f)
			return
		}
	}
}

// randomReplica returns a random replica, the leader in at least half of the
// calls.
func (f *faultInjector) randomReplica() *replica {
	if l := f.n.leader(); l != nil && f.rand.IntN(2) == 0 {
		return l
	}
	return f.n.replicas[f.n.vms[f.rand.IntN(len(f.n.vms))]]
}

func (f *faultInjector) randomMessage() (int, bool) {
	if len(f.n.messages) == 0 {
		return 0, false
	}
	return f.rand.IntN(len(f.n.messages)), true
}

func (f *faultInjector) tick() {
	for range 1 + f.rand.IntN(4) {
		f.n.tick()
	}
}

func (f *faultInjector) run() { f.n.run(1 + f.rand.IntN(testElectionTicks)) }

func (f *faultInjector) deliver() {
	for range 1 + f.rand.IntN(6) {
		if i, ok := f.randomMessage(); ok {
			f.n.deliver(i, false, noCrash)
		}
	}
}

func (f *faultInjector) duplicate() {
	if i, ok := f.randomMessage(); ok {
		f.n.deliver(i, true, noCrash)
	}
}

func (f *faultInjector) crashInReady() {
	if i, ok := f.randomMessage(); ok {
		f.n.deliver(i, false, crashBeforeSync+crashPoint(f.rand.IntN(2)))
	}
}

func (f *faultInjector) drop() {
	for range 1 + f.rand.IntN(4) {
		if i, ok := f.randomMessage(); ok {
			f.n.messages = slices.Delete(f.n.messages, i, i+1)
		}
	}
}

// propose proposes a command to any replica, including deposed leaders. The VM
// sometimes crashes soon afterwards, before the command is committed.
func (f *faultInjector) propose() {
	f.proposed++
	r := f.randomReplica()
	if f.n.propose(r, fmt.Sprint("command ", f.proposed)) && f.rand.IntN(8) == 0 {
		f.tick()
		r.node = nil
	}
}

func (f *faultInjector) crash() { f.randomReplica().node = nil }

func (f *faultInjector) restart() {
	if r := f.randomReplica(); r.node == nil {
		f.n.start(r)
		return
	}
	for _, vm := range f.n.vms {
		if r := f.n.replicas[vm]; r.node == nil && f.rand.IntN(2) == 0 {
			f.n.start(r)
		}
	}
}

func (f *faultInjector) randomLink() [2]ids.VMID {
	return [2]ids.VMID{f.randomReplica().id.VM, f.randomReplica().id.VM}
}

func (f *faultInjector) partitionOneWay() { f.n.partitioned[f.randomLink()] = true }

func (f *faultInjector) delay() { f.n.delayed[f.randomLink()] = true }

func (f *faultInjector) isolate() {
	r := f.randomReplica()
	for _, vm := range f.n.vms {
		f.n.partitioned[[2]ids.VMID{vm, r.id.VM}] = true
		f.n.partitioned[[2]ids.VMID{r.id.VM, vm}] = true
	}
}

func (f *faultInjector) heal() {
	clear(f.n.partitioned)
	clear(f.n.delayed)
}

func (f *faultInjector) snapshot() { f.n.takeSnapshot(f.randomReplica()) }

func (f *faultInjector) transfer() {
	if r := f.randomReplica(); r.runs() {
		_ = r.node.TransferLeadership(ReplicaID{})
		f.n.processReady(r, noCrash)
	}
}

// loseDisk loses a second disk only after the first one is replaced. The loss
// of a majority of the disks at once loses data in any replicated log.
func (f *faultInjector) loseDisk() {
	if f.n.replacedVM == "" {
		f.n.loseDisk(f.randomReplica())
	}
}

func (f *faultInjector) fillDisk() { f.randomReplica().full = true }

func (f *faultInjector) freeDisks() {
	for _, vm := range f.n.vms {
		r := f.n.replicas[vm]
		r.full = false
		f.n.processReady(r, noCrash)
	}
}

func (f *faultInjector) rejoinReplaced() { f.n.rejoinReplaced() }

// recover verifies that a healed group elects a leader and commits again.
func (f *faultInjector) recover() {
	n := f.n
	f.heal()
	f.freeDisks()
	for _, vm := range n.vms {
		if n.replicas[vm].node == nil {
			n.start(n.replicas[vm])
		}
	}
	n.run(8 * testElectionTicks)
	for range 6 {
		n.rejoinReplaced()
		n.run(2 * testElectionTicks)
	}
	l := n.leader()
	if !n.propose(l, "last") {
		f.t.Fatalf("the healed group accepts no proposal: %s", n)
	}
	n.run(testElectionTicks)
	for _, vm := range n.vms {
		applied := n.replicas[vm].applied
		if len(applied) == 0 || string(applied[len(applied)-1]) != "last" {
			f.t.Fatalf("%s has not applied the last command: %s", vm, n)
		}
	}
}

// TestRejoin guards against a replica that returns from a partition, in one or
// both directions, and deposes the leader.
func TestRejoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, "a", "b", "c")
		n.run(4 * testElectionTicks)
		l := n.leader()
		if l == nil {
			t.Fatalf("no leader: %s", n)
		}
		term := l.node.term
		partitioned := rapid.SampledFrom(n.vms).Filter(func(vm ids.VMID) bool { return vm != l.id.VM }).Draw(t, "vm")
		direction := rapid.IntRange(0, 2).Draw(t, "way")
		for _, vm := range n.vms {
			n.partitioned[[2]ids.VMID{vm, partitioned}] = direction != 0
			n.partitioned[[2]ids.VMID{partitioned, vm}] = direction != 1
		}
		for i := range rapid.IntRange(1, 10).Draw(t, "rounds") {
			n.run(rapid.IntRange(1, 2*testElectionTicks).Draw(t, "ticks"))
			n.propose(l, fmt.Sprint(i))
		}
		clear(n.partitioned)
		n.run(4 * testElectionTicks)
		if now := n.leader(); now != l || now.node.term != term {
			t.Fatalf("leader was %s in term %d: %s", l.id, term, n)
		}
		if got := n.replicas[partitioned].node.log.commit; got != l.node.log.commit {
			t.Fatalf("the partitioned replica has not caught up: %s", n)
		}
	})
}
