package raft

import (
	"fmt"
	"slices"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
)

// Ticks of 30 ms: elections take 480 ms, after a start 180 ms; a message between
// regions takes one tick.
const (
	startupElectionTicks = 16
	startupVoteDelay     = 6
	startupLinkTicks     = 1
	startupMaxTicks      = 1000
)

// ticksToFirstLeader starts some of five voters at once and returns the number
// of ticks until one of them leads.
func ticksToFirstLeader(seed uint64, running int) int {
	var members Members
	for vm := range 5 {
		members.Voters = append(members.Voters, ReplicaID{VM: ids.VMID(fmt.Sprint(vm)), Incarnation: 1})
	}
	nodes := map[ReplicaID]*Node{}
	for _, id := range members.Voters[:running] {
		node, err := New(Config{
			ID: id, Group: 1, ElectionTicks: startupElectionTicks, HeartbeatTicks: 3, VoteDelayTicks: startupVoteDelay, Seed: seed,
		}, Bootstrap(members))
		Expect(err).NotTo(HaveOccurred())
		nodes[id] = node
	}
	inFlight := map[int][]Message{}
	for tick := range startupMaxTicks {
		for _, id := range members.Voters[:running] {
			node := nodes[id]
			node.Tick()
			for _, m := range inFlight[tick] {
				if m.To == id {
					Expect(node.Step(m)).To(Succeed())
				}
			}
			for rd, ok := node.Ready(); ok; rd, ok = node.Ready() {
				inFlight[tick+startupLinkTicks] = append(inFlight[tick+startupLinkTicks], append(rd.Immediate, rd.Messages...)...)
				node.Advance()
			}
			if node.Role() == Leader {
				return tick
			}
		}
	}
	return startupMaxTicks
}

var _ = ginkgo.Describe("an election after a start of all voters", func() {
	// Callers wait for the leader. Guards against votes that split because the
	// first timeouts lie too close together, and against the long wait for the
	// next attempt.
	ginkgo.DescribeTable("ends within a second",
		func(running int) {
			const maxTicks = 33
			var ticks []int
			for seed := range uint64(300) {
				ticks = append(ticks, ticksToFirstLeader(seed, running))
			}
			slices.Sort(ticks)
			ginkgo.GinkgoWriter.Printf("%d of 5: median %d, 95th percentile %d, longest %d ticks\n", running, ticks[150], ticks[285], ticks[299])
			Expect(ticks[285]).To(BeNumerically("<=", maxTicks))
		},
		ginkgo.Entry("with all of them", 5),
		ginkgo.Entry("with two lost", 3),
	)
})
