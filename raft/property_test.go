package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"damaskbridge.example/damaskbridge/ids"
	"pgregory.net/rapid"
)

// TestSafety guards against two leaders in a term, differing logs, lost or
// changed committed entries and stale lease reads, while messages are dropped,
// duplicated, delayed, reordered and cut one way, VMs crash with the loss of
// unsynced data, disks are lost and memberships change. The actions come from
// a drawn seed, because rapid's own draws favour small values.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []ids.VMID{"a", "b", "c", "d", "e"}
		size := 3 + 2*(int(rapid.Uint64().Draw(t, "size")%3)/2)
		n := newNetwork(t, vms[:size]...)
		a := actor{t: t, n: n, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		n.settle(3 * testElectionTicks)
		for range rapid.IntRange(150, 400).Draw(t, "steps") {
			a.step()
			n.checkLeases()
		}
		n.checkLogs()
		a.recover()
	})
}

// actor decides what happens to a network.
type actor struct {
	t        *rapid.T
	n        *network
	rand     *rand.Rand
	proposed int
}

type weighted struct {
	weight int
	do     func(*actor)
}

var actions = []weighted{
	{12, (*actor).pass},
	{16, (*actor).settle},
	{12, (*actor).deliver},
	{16, (*actor).propose},
	{3, (*actor).drop},
	{3, (*actor).duplicate},
	{4, (*actor).crashInReady},
	{2, (*actor).crash},
	{6, (*actor).restart},
	{2, (*actor).cutOneWay},
	{2, (*actor).isolate},
	{2, (*actor).hold},
	{6, (*actor).heal},
	{3, (*actor).snapshot},
	{1, (*actor).transfer},
	{2, (*actor).loseDisk},
	{6, (*actor).repair},
}

func (a *actor) step() {
	total := 0
	for _, w := range actions {
		total += w.weight
	}
	at := a.rand.IntN(total)
	for _, w := range actions {
		if at -= w.weight; at < 0 {
			w.do(a)
			return
		}
	}
}

// vm gives any VM, the leader's as often as all others together.
func (a *actor) vm() *replica {
	if l := a.n.leader(); l != nil && a.rand.IntN(2) == 0 {
		return l
	}
	return a.n.replicas[a.n.vms[a.rand.IntN(len(a.n.vms))]]
}

func (a *actor) message() (int, bool) {
	if len(a.n.messages) == 0 {
		return 0, false
	}
	return a.rand.IntN(len(a.n.messages)), true
}

func (a *actor) pass() {
	for range 1 + a.rand.IntN(4) {
		a.n.pass()
	}
}

func (a *actor) settle() { a.n.settle(1 + a.rand.IntN(testElectionTicks)) }

func (a *actor) deliver() {
	for range 1 + a.rand.IntN(6) {
		if i, ok := a.message(); ok {
			a.n.deliver(i, false, noCrash)
		}
	}
}

func (a *actor) duplicate() {
	if i, ok := a.message(); ok {
		a.n.deliver(i, true, noCrash)
	}
}

func (a *actor) crashInReady() {
	if i, ok := a.message(); ok {
		a.n.deliver(i, false, crashBeforeSync+crashPoint(a.rand.IntN(2)))
	}
}

func (a *actor) drop() {
	for range 1 + a.rand.IntN(4) {
		if i, ok := a.message(); ok {
			a.n.messages = slices.Delete(a.n.messages, i, i+1)
		}
	}
}

// propose asks any replica, so that replaced leaders are asked as well. A
// proposal may stay unsent or unsynced when its VM crashes next.
func (a *actor) propose() {
	a.proposed++
	r := a.vm()
	if a.n.propose(r, fmt.Sprint("command ", a.proposed)) && a.rand.IntN(8) == 0 {
		a.pass()
		r.node = nil
	}
}

func (a *actor) crash() { a.vm().node = nil }

func (a *actor) restart() {
	if r := a.vm(); r.node == nil {
		a.n.start(r)
		return
	}
	for _, vm := range a.n.vms {
		if r := a.n.replicas[vm]; r.node == nil && a.rand.IntN(2) == 0 {
			a.n.start(r)
		}
	}
}

func (a *actor) link() [2]ids.VMID { return [2]ids.VMID{a.vm().id.VM, a.vm().id.VM} }

func (a *actor) cutOneWay() { a.n.cut[a.link()] = true }

func (a *actor) hold() { a.n.held[a.link()] = true }

func (a *actor) isolate() {
	r := a.vm()
	for _, vm := range a.n.vms {
		a.n.cut[[2]ids.VMID{vm, r.id.VM}] = true
		a.n.cut[[2]ids.VMID{r.id.VM, vm}] = true
	}
}

func (a *actor) heal() {
	clear(a.n.cut)
	clear(a.n.held)
}

func (a *actor) snapshot() { a.n.takeSnapshot(a.vm()) }

func (a *actor) transfer() {
	if r := a.vm(); r.node != nil {
		_ = r.node.TransferLeadership(ReplicaID{})
		a.n.drain(r, noCrash)
	}
}

// loseDisk loses a second disk only after the first is repaired. More disks
// lost at once than a minority lose data in any replicated log.
func (a *actor) loseDisk() {
	if a.n.unrepaired == "" {
		a.n.loseDisk(a.vm())
	}
}

func (a *actor) repair() { a.n.repair() }

// recover verifies that a healed group elects a leader and commits again.
func (a *actor) recover() {
	n := a.n
	a.heal()
	for _, vm := range n.vms {
		if n.replicas[vm].node == nil {
			n.start(n.replicas[vm])
		}
	}
	n.settle(8 * testElectionTicks)
	for range 6 {
		n.repair()
		n.settle(2 * testElectionTicks)
	}
	l := n.leader()
	if !n.propose(l, "last") {
		a.t.Fatalf("the healed group takes no proposal: %s", n)
	}
	n.settle(testElectionTicks)
	for _, vm := range n.vms {
		applied := n.replicas[vm].applied
		if len(applied) == 0 || string(applied[len(applied)-1]) != "last" {
			a.t.Fatalf("%s has not applied the last command: %s", vm, n)
		}
	}
}

// TestRejoin guards against a replica that was cut off, in one or both
// directions, deposing the leader when it comes back.
func TestRejoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, "a", "b", "c")
		n.settle(4 * testElectionTicks)
		l := n.leader()
		if l == nil {
			t.Fatalf("no leader: %s", n)
		}
		term := l.node.term
		cutOff := rapid.SampledFrom(n.vms).Filter(func(vm ids.VMID) bool { return vm != l.id.VM }).Draw(t, "vm")
		way := rapid.IntRange(0, 2).Draw(t, "way")
		for _, vm := range n.vms {
			n.cut[[2]ids.VMID{vm, cutOff}] = way != 0
			n.cut[[2]ids.VMID{cutOff, vm}] = way != 1
		}
		for i := range rapid.IntRange(1, 10).Draw(t, "rounds") {
			n.settle(rapid.IntRange(1, 2*testElectionTicks).Draw(t, "ticks"))
			n.propose(l, fmt.Sprint(i))
		}
		clear(n.cut)
		n.settle(4 * testElectionTicks)
		if now := n.leader(); now != l || now.node.term != term {
			t.Fatalf("leader was %s in term %d: %s", l.id, term, n)
		}
		if got := n.replicas[cutOff].node.log.commit; got != l.node.log.commit {
			t.Fatalf("the replica that was cut off has not caught up: %s", n)
		}
	})
}
