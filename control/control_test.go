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

	// Guards against the loss of an acknowledged command with its leader.
	It("goes on when the leader is killed", func() {
		start(nil)
		c.claims(20)
		killed := c.leader()
		c.kill(killed)
		c.claims(20)
		Expect(c.start(killed)).To(Succeed())
		c.claims(5)
		c.expectKept()
	})

	// Guards against a follower that misses what was committed without it.
	It("goes on when a follower is killed", func() {
		start(nil)
		killed := c.others(c.leader())[0]
		c.kill(killed)
		c.claims(20)
		Expect(c.start(killed)).To(Succeed())
		c.claims(5)
		c.expectKept()
	})

	// Guards against an acknowledgement before the sync, and against a loss
	// at a restart of the whole group.
	It("keeps everything when all are killed", func() {
		start(nil)
		c.claims(30)
		for vm := range c.members {
			c.kill(vm)
		}
		for vm := range c.members {
			Expect(c.start(vm)).To(Succeed())
		}
		c.claims(5)
		c.expectKept()
	})

	// Guards against a new disk that votes as if it were the old one, and
	// against a repair that is reported before the data is there twice.
	It("survives a lost disk and then the loss of another VM", func() {
		start(nil)
		c.claims(30)
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
		}, patience, time.Millisecond).Should(BeTrue(), "the replica has not become a voter")
		c.kill(c.leader())
		c.claims(10)
		c.expectKept()
	})

	// Guards against an old copy of a disk that votes and acknowledges beside
	// the replica that has taken its place.
	It("stops a replica that comes back under a replaced identity", func() {
		start(nil)
		lost := c.members[c.others(c.leader())[0]]
		c.kill(lost.vm)
		kept := lost.dir + "-kept"
		Expect(os.Rename(lost.dir, kept)).To(Succeed())
		Expect(c.start(lost.vm)).To(Succeed())
		id := lost.replica.ID()
		Eventually(func() bool {
			return c.members[c.leader()].replica.published.Load().members.IsVoter(id)
		}, patience, time.Millisecond).Should(BeTrue())
		c.kill(lost.vm)
		lost.dir = kept
		Expect(c.start(lost.vm)).To(Succeed())
		Eventually(lost.replica.Done(), patience).Should(BeClosed())
		Expect(lost.replica.Err()).To(MatchError(ContainSubstring("was replaced by")))
		c.claims(3)
		c.expectKept()
	})

	// Guards against a leader that goes on alone behind a silent partition,
	// and against its return disturbing the new one.
	It("deposes a leader that is cut off, without a stale proof", func() {
		start(nil)
		c.claims(5)
		cut := c.leader()
		c.silence(cut)
		isolated := c.members[cut]
		Eventually(func() bool { return isolated.replica.published.Load().isLeader() }, patience, time.Millisecond).Should(BeFalse())
		before := isolated.replica.published.Load().settings.Version()
		c.change(0, "3s")
		c.claims(5)
		accepted := time.Now()
		_, age, err := isolated.server.Settings()
		Expect(err).NotTo(HaveOccurred())
		Expect(isolated.replica.published.Load().settings.Version()).To(Equal(before))
		Expect(time.Now().Add(-age)).To(BeTemporally("<", accepted), "the proof is younger than a change it does not cover")
		term := c.members[c.leader()].replica.published.Load().term
		c.mem.SetDelay(nil)
		c.expectKept()
		Expect(c.members[c.leader()].replica.published.Load().term).To(Equal(term))
	})

	// Guards against a restart that reads the whole history.
	It("restarts from a snapshot after 1,000 commands", func() {
		start(func(o *Options) { o.SnapshotEntries = 100 })
		c.claims(1000)
		c.expectKept()
		for vm := range c.members {
			c.kill(vm)
		}
		for vm := range c.members {
			Expect(c.start(vm)).To(Succeed())
			m := c.members[vm]
			Expect(m.replica.published.Load().snapshot).To(BeNumerically(">", 500))
			Expect(m.replica.Do(context.Background(), func() {
				st := m.replica.node.Status()
				Expect(st.Last - st.Base).To(BeNumerically("<", 500))
			})).To(Succeed())
		}
		c.claims(5)
		c.expectKept()
	})

	// Guards against a far replica that cannot take a state larger than one
	// message, and against a control VM outside of the list that gets nothing.
	It("brings a new control VM up by a snapshot in parts", func() {
		start(func(o *Options) { o.SnapshotEntries = 50 })
		c.claims(200)
		d := &member{vm: "d", dir: ginkgo.GinkgoT().TempDir()}
		c.members["d"] = d
		Expect(c.start("d")).To(Succeed())
		c.expectKept()
		Expect(d.replica.published.Load().members.IsLearner(d.replica.ID())).To(BeTrue())
	})

	// Guards against a start of a second group from an empty disk.
	It("starts no group while a voter does not answer", func() {
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
