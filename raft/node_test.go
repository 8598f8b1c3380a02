package raft

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
)

// stop makes ginkgo a failer.
type stop struct{ ginkgo.GinkgoTInterface }

func network3() (*network, *replica) {
	n := newNetwork(stop{ginkgo.GinkgoT()}, "a", "b", "c")
	n.settle(4 * testElectionTicks)
	l := n.leader()
	Expect(l).NotTo(BeNil())
	return n, l
}

func (n *network) other(r *replica) *replica {
	for _, vm := range n.vms {
		if vm != r.id.VM {
			return n.replicas[vm]
		}
	}
	return nil
}

var _ = ginkgo.Describe("Node", func() {
	// Guards against an acknowledgement of what is not synced.
	ginkgo.It("commits nothing before its own copy is synced", func() {
		id := ReplicaID{VM: "a", Incarnation: 1}
		node, err := New(Config{ID: id, Group: 1, ElectionTicks: 10, HeartbeatTicks: 2}, Bootstrap(Members{Voters: []ReplicaID{id}}))
		Expect(err).NotTo(HaveOccurred())
		for node.Role() != Candidate {
			node.Tick()
		}
		_, _ = node.Ready()
		Expect(node.Role()).To(Equal(Candidate), "its own vote counts before it is synced")
		node.Advance()
		Expect(node.Role()).To(Equal(Leader))
		index, _, err := node.Propose([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		rd, _ := node.Ready()
		Expect(rd.Committed).To(BeEmpty())
		Expect(node.Status().Commit).To(BeNumerically("<", index))
		node.Advance()
		Expect(node.Status().Commit).To(Equal(index))
	})

	// Guards against a fan-out of one message for each proposal.
	ginkgo.It("batches proposals and bounds the appends under way", func() {
		n, l := network3()
		n.messages = nil
		for range 200 {
			_, _, err := l.node.Propose(make([]byte, 30))
			Expect(err).NotTo(HaveOccurred())
		}
		n.drain(l, noCrash)
		appends := 0
		for _, m := range n.messages {
			if m.Type == MsgAppend {
				appends++
			}
		}
		Expect(appends).To(Equal(2 * l.node.cfg.MaxInflight))
		n.settle(testElectionTicks)
		Expect(l.node.Status().Commit).To(Equal(l.node.log.last()))
	})

	// Guards against a lease that outlives the handover of leadership.
	ginkgo.It("transfers leadership without a lost command", func() {
		n, l := network3()
		n.propose(l, "before")
		to := n.other(l)
		Expect(l.node.TransferLeadership(to.id)).To(Succeed())
		n.drain(l, noCrash)
		_, _, err := l.node.Propose([]byte("during"))
		Expect(err).To(MatchError(ErrTransferring))
		n.settle(3)
		Expect(n.leader()).To(Equal(to))
		Expect(to.applied).To(ContainElement([]byte("before")))
	})

	// Guards against a vote by a replica without the committed log.
	ginkgo.It("promotes a learner only once it has synced the committed log", func() {
		n, l := network3()
		lost := n.other(l)
		n.propose(l, "kept")
		n.takeSnapshot(l)
		n.loseDisk(lost)
		n.repair()
		Expect(l.node.Members().IsLearner(lost.id)).To(BeTrue())
		Expect(l.node.ProposeMembers(MembersChange{Kind: PromoteLearner, ID: lost.id})).To(MatchError(ErrChangePending))
		n.cut[[2]ids.VMID{lost.id.VM, l.id.VM}] = true
		n.settle(3)
		Expect(l.node.ProposeMembers(MembersChange{Kind: PromoteLearner, ID: lost.id})).To(MatchError(ErrLearnerBehind))
		clear(n.cut)
		n.settle(2 * testElectionTicks)
		Expect(l.node.ProposeMembers(MembersChange{Kind: PromoteLearner, ID: lost.id})).To(Succeed())
		n.drain(l, noCrash)
		n.settle(3)
		Expect(lost.node.Members().IsVoter(lost.id)).To(BeTrue())
		Expect(lost.applied).To(Equal([][]byte{[]byte("kept")}))
	})

	// Guards against promises of a lost disk being kept by an empty one.
	ginkgo.It("refuses a replaced identity with the remedy", func() {
		n, l := network3()
		lost := n.other(l)
		old := lost.id
		n.loseDisk(lost)
		n.repair()
		err := l.node.Step(Message{Type: MsgVote, Group: 1, From: old, To: l.id, Term: 99, Transfer: true})
		Expect(err).To(MatchError(ContainSubstring("new incarnation")))
		Expect(l.node.Role()).To(Equal(Leader))
		err = l.node.ProposeMembers(MembersChange{Kind: AddLearner, ID: old})
		Expect(err).To(HaveOccurred())
	})

	// Guards against a leader that cannot hear holding its place for good.
	ginkgo.It("steps down when a majority is silent", func() {
		n, l := network3()
		for _, vm := range n.vms {
			n.cut[[2]ids.VMID{vm, l.id.VM}] = true
		}
		n.settle(4 * testElectionTicks)
		Expect(l.node.Role()).NotTo(Equal(Leader))
		Expect(n.leader()).NotTo(BeNil())
	})

	// Guards against a second vote in a term after a crash.
	ginkgo.It("remembers its vote and its promise over a restart", func() {
		n, l := network3()
		voter := n.other(l)
		vote := func(from ids.VMID) bool {
			m := Message{Type: MsgVote, Group: 1, From: ReplicaID{VM: from, Incarnation: 1}, To: voter.id, Term: 50, Index: 99, LogTerm: 49}
			Expect(voter.node.Step(m)).To(Succeed())
			rd, ok := voter.node.Ready()
			voter.disk.store(&rd)
			voter.node.Advance()
			return ok && len(rd.Messages) == 1 && !rd.Messages[0].Reject
		}
		n.start(voter)
		Expect(vote("x")).To(BeFalse(), "the restart forgot the promise to the leader")
		for range testElectionTicks {
			voter.node.Tick()
		}
		n.drain(voter, noCrash)
		Expect(vote("x")).To(BeTrue())
		n.start(voter)
		for range testElectionTicks {
			voter.node.Tick()
		}
		Expect(vote("y")).To(BeFalse(), "the restart forgot the vote")
	})

	// Callers wait while all control VMs come back from a loss of power.
	ginkgo.It("elects a leader within the start time after a restart of all", func() {
		n, _ := network3()
		n.startTicks = 3
		for _, r := range n.replicas {
			n.start(r)
		}
		n.settle(testElectionTicks - 1)
		Expect(n.leader()).NotTo(BeNil())
	})

	ginkgo.It("keeps its promise for the whole election time after a start unless told otherwise", func() {
		n, l := network3()
		r := n.other(l)
		n.start(r)
		for range testElectionTicks - 1 {
			r.node.Tick()
			Expect(r.node.promised()).To(BeTrue())
		}
		r.node.Tick()
		Expect(r.node.promised()).To(BeFalse())
	})

	ginkgo.It("does not disturb a leader when a replica with a short start time comes back", func() {
		n, l := network3()
		term := l.node.term
		n.startTicks = 1
		for range 5 {
			n.start(n.other(l))
			n.settle(testElectionTicks)
		}
		Expect(n.leader()).To(Equal(l))
		Expect(l.node.term).To(Equal(term))
	})

	// Guards against a lease that runs from the receipt of a late answer.
	ginkgo.It("counts the lease from the sending of the heartbeat", func() {
		n, l := network3()
		for _, vm := range n.vms {
			n.held[[2]ids.VMID{vm, l.id.VM}] = true
		}
		sent := l.node.Now()
		n.settle(testElectionTicks - 2)
		clear(n.held)
		n.flush()
		round, ok := l.node.LeaseRound()
		Expect(ok).To(BeTrue())
		Expect(round).To(BeNumerically("<=", l.node.Now()))
		n.held[[2]ids.VMID{l.id.VM, n.other(l).id.VM}] = true
		late := Message{Type: MsgHeartbeatReply, Group: 1, To: l.id, Term: l.node.term, Round: sent}
		for id := range l.node.peers {
			l.node.peers[id].ackRound = 0
			late.From = id
			Expect(l.node.Step(late)).To(Succeed())
		}
		_, ok = l.node.LeaseRound()
		Expect(ok).To(BeFalse(), "the answer came within the lease, but its heartbeat is older than that")
	})

	// Guards against the loss of an entry of an older term that a majority
	// holds and that a longer log of a newer term may still replace.
	ginkgo.It("commits entries of an older term only with one of its own", func() {
		voters := []ReplicaID{{VM: "a", Incarnation: 1}, {VM: "b", Incarnation: 1}, {VM: "c", Incarnation: 1}}
		s := Bootstrap(Members{Voters: voters})
		s.HardState.Term = 4
		s.Entries = []Entry{{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("old")}}
		node, err := New(Config{ID: voters[0], Group: 1, ElectionTicks: 10, HeartbeatTicks: 2}, s)
		Expect(err).NotTo(HaveOccurred())
		finish := func() {
			for {
				if _, ok := node.Ready(); !ok {
					return
				}
				node.Advance()
			}
		}
		for node.Role() != PreCandidate {
			node.Tick()
		}
		reply := Message{Type: MsgPreVoteReply, Group: 1, From: voters[1], To: voters[0], Term: 5}
		Expect(node.Step(reply)).To(Succeed())
		finish()
		reply.Type = MsgVoteReply
		Expect(node.Step(reply)).To(Succeed())
		Expect(node.Role()).To(Equal(Leader))
		finish()
		reply.Type, reply.Index, reply.Round = MsgAppendReply, 2, node.Now()
		Expect(node.Step(reply)).To(Succeed())
		Expect(node.Status().Commit).To(BeNumerically("==", 1))
		reply.Index = 3
		Expect(node.Step(reply)).To(Succeed())
		Expect(node.Status().Commit).To(BeNumerically("==", 3))
	})
})
