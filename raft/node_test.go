package raft

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
)

// ginkgoReporter implements fatalReporter.
type ginkgoReporter struct{ ginkgo.GinkgoTInterface }

// newThreeVMNetwork returns a network of three VMs and its leader.
func newThreeVMNetwork() (*network, *replica) {
	n := newNetwork(ginkgoReporter{ginkgo.GinkgoT()}, "a", "b", "c")
	n.run(4 * testElectionTicks)
	l := n.leader()
	Expect(l).NotTo(BeNil())
	return n, l
}

func (n *network) otherThan(r *replica) *replica {
	for _, vm := range n.vms {
		if vm != r.id.VM {
			return n.replicas[vm]
		}
	}
	return nil
}

var _ = ginkgo.Describe("Node", func() {
	// Guards against counting an entry or a vote that is not synced.
	ginkgo.It("commits nothing before its own copy is synced", func() {
		id := ReplicaID{VM: "a", Incarnation: 1}
		node, err := New(Config{ID: id, Group: 1, ElectionTicks: 10, HeartbeatTicks: 2}, Bootstrap(Members{Voters: []ReplicaID{id}}))
		Expect(err).NotTo(HaveOccurred())
		for node.Role() != Candidate {
			node.Tick()
		}
		_, _ = node.Ready()
		Expect(node.Role()).To(Equal(Candidate), "its own vote was counted before it was synced")
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

	// Guards against one append per proposal and follower.
	ginkgo.It("batches proposals and limits the appends in flight", func() {
		n, l := newThreeVMNetwork()
		n.messages = nil
		for range 200 {
			_, _, err := l.node.Propose(make([]byte, 30))
			Expect(err).NotTo(HaveOccurred())
		}
		n.processReady(l, noCrash)
		appends := 0
		for _, m := range n.messages {
			if m.Type == MsgAppend {
				appends++
			}
		}
		Expect(appends).To(Equal(2 * l.node.cfg.MaxInflight))
		n.run(testElectionTicks)
		Expect(l.node.Status().Commit).To(Equal(l.node.log.lastIndex()))
	})

	// Guards against a transfer that loses a command or accepts proposals.
	ginkgo.It("transfers leadership without losing a command", func() {
		n, l := newThreeVMNetwork()
		n.propose(l, "before")
		to := n.otherThan(l)
		Expect(l.node.TransferLeadership(to.id)).To(Succeed())
		n.processReady(l, noCrash)
		_, _, err := l.node.Propose([]byte("during"))
		Expect(err).To(MatchError(ErrTransferring))
		n.run(3)
		Expect(n.leader()).To(Equal(to))
		Expect(to.applied).To(ContainElement([]byte("before")))
	})

	// Guards against a voter that does not hold the committed log.
	ginkgo.It("promotes a learner only once it has synced the committed log", func() {
		n, l := newThreeVMNetwork()
		lost := n.otherThan(l)
		n.propose(l, "kept")
		n.takeSnapshot(l)
		n.loseDisk(lost)
		n.rejoinReplaced()
		Expect(l.node.Members().IsLearner(lost.id)).To(BeTrue())
		Expect(l.node.ProposeMembersChange(MembersChange{Kind: PromoteLearner, ID: lost.id})).To(MatchError(ErrChangePending))
		n.partitioned[[2]ids.VMID{lost.id.VM, l.id.VM}] = true
		n.run(3)
		Expect(l.node.ProposeMembersChange(MembersChange{Kind: PromoteLearner, ID: lost.id})).To(MatchError(ErrLearnerBehind))
		clear(n.partitioned)
		n.run(2 * testElectionTicks)
		Expect(l.node.ProposeMembersChange(MembersChange{Kind: PromoteLearner, ID: lost.id})).To(Succeed())
		n.processReady(l, noCrash)
		n.run(3)
		Expect(lost.node.Members().IsVoter(lost.id)).To(BeTrue())
		Expect(lost.applied).To(Equal([][]byte{[]byte("kept")}))
	})

	// Guards against a replica with an empty disk that acts under the identity
	// of the lost one, whose votes and acknowledgements it does not know.
	ginkgo.It("rejects a replaced identity and names the remedy", func() {
		n, l := newThreeVMNetwork()
		lost := n.otherThan(l)
		old := lost.id
		n.loseDisk(lost)
		n.rejoinReplaced()
		err := l.node.Step(Message{Type: MsgVote, Group: 1, From: old, To: l.id, Term: 99, Transfer: true})
		Expect(err).To(MatchError(ContainSubstring("new incarnation")))
		Expect(l.node.Role()).To(Equal(Leader))
		err = l.node.ProposeMembersChange(MembersChange{Kind: AddLearner, ID: old})
		Expect(err).To(HaveOccurred())
	})

	// Guards against a leader that receives no messages and never steps down.
	ginkgo.It("steps down when it hears from no majority", func() {
		n, l := newThreeVMNetwork()
		for _, vm := range n.vms {
			n.partitioned[[2]ids.VMID{vm, l.id.VM}] = true
		}
		n.run(4 * testElectionTicks)
		Expect(l.node.Role()).NotTo(Equal(Leader))
		Expect(n.leader()).NotTo(BeNil())
	})

	// Guards against a second vote in one term, and a vote against a leader
	// with a valid lease, after a crash.
	ginkgo.It("keeps its vote and withholds votes from other candidates after a restart", func() {
		n, l := newThreeVMNetwork()
		voter := n.otherThan(l)
		vote := func(from ids.VMID) bool {
			m := Message{Type: MsgVote, Group: 1, From: ReplicaID{VM: from, Incarnation: 1}, To: voter.id, Term: 50, Index: 99, LogTerm: 49}
			Expect(voter.node.Step(m)).To(Succeed())
			rd, ok := voter.node.Ready()
			voter.disk.store(&rd)
			voter.node.Advance()
			return ok && len(rd.Messages) == 1 && !rd.Messages[0].Reject
		}
		n.start(voter)
		Expect(vote("x")).To(BeFalse(), "the restarted replica voted against a leader that may hold a lease")
		for range testElectionTicks {
			voter.node.Tick()
		}
		n.processReady(voter, noCrash)
		Expect(vote("x")).To(BeTrue())
		n.start(voter)
		for range testElectionTicks {
			voter.node.Tick()
		}
		Expect(vote("y")).To(BeFalse(), "the restarted replica voted twice in one term")
	})

	// Guards against a long outage after all control VMs restart, for example
	// after a power failure. Callers wait until a leader is elected.
	ginkgo.It("elects a leader within the election timeout after all replicas restart with a short vote delay", func() {
		n, _ := newThreeVMNetwork()
		n.voteDelayTicks = 3
		for _, r := range n.replicas {
			n.start(r)
		}
		n.run(testElectionTicks - 1)
		Expect(n.leader()).NotTo(BeNil())
	})

	// Guards against a default vote delay shorter than a lease.
	ginkgo.It("withholds votes for the whole election timeout after a start by default", func() {
		n, l := newThreeVMNetwork()
		r := n.otherThan(l)
		n.start(r)
		for range testElectionTicks - 1 {
			r.node.Tick()
			Expect(r.node.mustWithholdVote()).To(BeTrue())
		}
		r.node.Tick()
		Expect(r.node.mustWithholdVote()).To(BeFalse())
	})

	// Guards against an election caused by a replica that restarts.
	ginkgo.It("does not depose a leader when a replica with a short vote delay restarts", func() {
		n, l := newThreeVMNetwork()
		term := l.node.term
		n.voteDelayTicks = 1
		for range 5 {
			n.start(n.otherThan(l))
			n.run(testElectionTicks)
		}
		Expect(n.leader()).To(Equal(l))
		Expect(l.node.term).To(Equal(term))
	})

	// Guards against a lease that starts at the receipt of a late reply.
	ginkgo.It("starts the lease when the heartbeat was sent", func() {
		n, l := newThreeVMNetwork()
		for _, vm := range n.vms {
			n.delayed[[2]ids.VMID{vm, l.id.VM}] = true
		}
		sent := l.node.Now()
		n.run(testElectionTicks - 2)
		clear(n.delayed)
		n.deliverAll()
		leaseStart, ok := l.node.LeaseStart()
		Expect(ok).To(BeTrue())
		Expect(leaseStart).To(BeNumerically("<=", l.node.Now()))
		n.delayed[[2]ids.VMID{l.id.VM, n.otherThan(l).id.VM}] = true
		late := Message{Type: MsgHeartbeatReply, Group: 1, To: l.id, Term: l.node.term, SentTick: sent}
		for id := range l.node.peers {
			l.node.peers[id].ackedTick = 0
			late.From = id
			Expect(l.node.Step(late)).To(Succeed())
		}
		_, ok = l.node.LeaseStart()
		Expect(ok).To(BeFalse(), "the reply is recent, but its heartbeat was sent longer ago than a lease lasts")
	})

	// Guards against the loss of a committed entry of an older term: although a
	// majority holds the entry, a log that ends in a newer term may still
	// overwrite it (Raft paper, figure 8).
	ginkgo.It("commits entries of an older term only with an entry of its own term", func() {
		voters := []ReplicaID{{VM: "a", Incarnation: 1}, {VM: "b", Incarnation: 1}, {VM: "c", Incarnation: 1}}
		s := Bootstrap(Members{Voters: voters})
		s.HardState.Term = 4
		s.Entries = []Entry{{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("old")}}
		node, err := New(Config{ID: voters[0], Group: 1, ElectionTicks: 10, HeartbeatTicks: 2}, s)
		Expect(err).NotTo(HaveOccurred())
		processReady := func() {
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
		processReady()
		reply.Type = MsgVoteReply
		Expect(node.Step(reply)).To(Succeed())
		Expect(node.Role()).To(Equal(Leader))
		processReady()
		reply.Type, reply.Index, reply.SentTick = MsgAppendReply, 2, node.Now()
		Expect(node.Step(reply)).To(Succeed())
		Expect(node.Status().Commit).To(BeNumerically("==", 1))
		reply.Index = 3
		Expect(node.Step(reply)).To(Succeed())
		Expect(node.Status().Commit).To(BeNumerically("==", 3))
	})
})
