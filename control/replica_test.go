package control

import (
	"context"
	"os"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
)

var _ = ginkgo.Describe("Replica", func() {
	var c *cluster
	It := ginkgo.It
	start := func(adjust func(*Options)) {
		c = newCluster(ginkgo.GinkgoT().TempDir(), adjust, "a", "b", "c")
	}
	ginkgo.AfterEach(func() { c.stopAll() })

	// Guards against losing acknowledged commands with the leader.
	It("keeps acknowledged commands when the leader is killed", func() {
		start(nil)
		c.claimN(20)
		killed := c.leader()
		c.kill(killed)
		c.claimN(20)
		Expect(c.start(killed)).To(Succeed())
		c.claimN(5)
		c.expectAllClaims()
	})

	// Guards against a follower that misses the commands committed while it was
	// down.
	It("keeps acknowledged commands when a follower is killed", func() {
		start(nil)
		killed := c.others(c.leader())[0]
		c.kill(killed)
		c.claimN(20)
		Expect(c.start(killed)).To(Succeed())
		c.claimN(5)
		c.expectAllClaims()
	})

	// Guards against acknowledging a command before the sync, and against
	// losing commands when the whole group restarts.
	It("keeps acknowledged commands when all replicas are killed", func() {
		start(nil)
		c.claimN(30)
		for vm := range c.members {
			c.kill(vm)
		}
		for vm := range c.members {
			Expect(c.start(vm)).To(Succeed())
		}
		c.claimN(5)
		c.expectAllClaims()
	})

	// Guards against a replica with a new disk that votes under its old
	// identity, and against reporting the repair before the data is stored
	// twice.
	It("survives the loss of a disk followed by the loss of another VM", func() {
		start(nil)
		c.claimN(30)
		leader := c.leader()
		lost := c.others(leader)[0]
		c.kill(lost)
		Expect(os.RemoveAll(c.members[lost].dir)).To(Succeed())
		old := c.members[lost].replica.ID()
		Expect(c.start(lost)).To(Succeed())
		id := c.members[lost].replica.ID()
		Expect(id.Incarnation).To(BeNumerically(">", old.Incarnation))
		Eventually(func() bool {
			return c.members[c.leader()].replica.published.Load().members.IsVoter(id)
		}, waitTimeout, time.Millisecond).Should(BeTrue(), "the replica has not become a voter")
		c.kill(c.leader())
		c.claimN(10)
		c.expectAllClaims()
	})

	// Guards against an old copy of a disk that votes and acknowledges
	// alongside the replica that has replaced it.
	It("stops a replica that returns under a replaced identity", func() {
		start(nil)
		lost := c.members[c.others(c.leader())[0]]
		c.kill(lost.vm)
		oldDir := lost.dir + "-kept"
		Expect(os.Rename(lost.dir, oldDir)).To(Succeed())
		Expect(c.start(lost.vm)).To(Succeed())
		id := lost.replica.ID()
		Eventually(func() bool {
			return c.members[c.leader()].replica.published.Load().members.IsVoter(id)
		}, waitTimeout, time.Millisecond).Should(BeTrue())
		c.kill(lost.vm)
		lost.dir = oldDir
		Expect(c.start(lost.vm)).To(Succeed())
		Eventually(lost.replica.Done(), waitTimeout).Should(BeClosed())
		Expect(lost.replica.Err()).To(MatchError(ContainSubstring("was replaced by")))
		c.claimN(3)
		c.expectAllClaims()
	})

	// Guards against a leader that keeps committing behind a silent partition,
	// and against its return deposing the new leader.
	It("deposes a partitioned leader, whose confirmation does not cover later changes", func() {
		start(nil)
		c.claimN(5)
		old := c.leader()
		c.isolate(old)
		isolated := c.members[old]
		Eventually(func() bool { return isolated.replica.published.Load().isLeader() }, waitTimeout, time.Millisecond).Should(BeFalse())
		before := isolated.replica.published.Load().settings.Version()
		c.changeSetting(0, "3s")
		c.claimN(5)
		accepted := time.Now()
		_, age, err := isolated.server.Settings()
		Expect(err).NotTo(HaveOccurred())
		Expect(isolated.replica.published.Load().settings.Version()).To(Equal(before))
		Expect(time.Now().Add(-age)).To(BeTemporally("<", accepted), "the confirmation is newer than a change that it does not cover")
		term := c.members[c.leader()].replica.published.Load().term
		c.mem.SetDelay(nil)
		c.expectAllClaims()
		Expect(c.members[c.leader()].replica.published.Load().term).To(Equal(term))
	})

	// Guards against a restart that reads the whole history.
	It("restarts from a snapshot after 1,000 commands", func() {
		start(func(o *Options) { o.SnapshotEntries = 100 })
		c.claimN(1000)
		c.expectAllClaims()
		for vm := range c.members {
			c.kill(vm)
		}
		for vm := range c.members {
			Expect(c.start(vm)).To(Succeed())
			m := c.members[vm]
			Expect(m.replica.published.Load().snapshot).To(BeNumerically(">", 500))
			Expect(m.replica.Do(context.Background(), func() {
				st := m.replica.node.Status()
				Expect(st.LastIndex - st.CompactedIndex).To(BeNumerically("<", 500))
			})).To(Succeed())
		}
		c.claimN(5)
		c.expectAllClaims()
	})

	// Guards against a replica that cannot receive a state larger than one
	// message, and against a control VM that is not in the list of peers and
	// receives nothing.
	It("initializes a new control VM from a snapshot in chunks", func() {
		start(func(o *Options) { o.SnapshotEntries = 50 })
		c.claimN(200)
		d := &member{vm: "d", dir: ginkgo.GinkgoT().TempDir()}
		c.members["d"] = d
		Expect(c.start("d")).To(Succeed())
		c.expectAllClaims()
		Expect(d.replica.published.Load().members.IsLearner(d.replica.ID())).To(BeTrue())
	})

	// Guards against bootstrapping a second group from an empty disk.
	It("does not bootstrap a group while a voter does not answer", func() {
		start(nil)
		for vm := range c.members {
			c.kill(vm)
		}
		vm := ids.VMID("a")
		Expect(os.RemoveAll(c.members[vm].dir)).To(Succeed())
		Expect(c.start(vm)).To(Succeed())
		Expect(c.start("b")).To(Succeed())
		Consistently(func() bool {
			return c.members[vm].replica.published.Load().members.IsVoter(c.members[vm].replica.ID())
		}, "300ms", "10ms").Should(BeFalse())
	})
})
