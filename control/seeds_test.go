package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/machine"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/transport"
)

// seedCluster is a group of control VMs that discover each other from three
// seeds.
type seedCluster struct {
	*cluster
	dir       string
	bootstrap bool
}

var seedNames = []string{"a", "b", "c"}

func newSeedCluster(dir string, bootstrap bool, vms ...ids.VMID) *seedCluster {
	f := &seedCluster{cluster: &cluster{mem: transport.NewMemoryNetwork(), members: map[ids.VMID]*member{}}, dir: dir, bootstrap: bootstrap}
	f.adjust = func(o *Options) {
		o.Seeds = func() []string { return seedNames }
		o.Bootstrap = f.bootstrap
		o.TargetVoters = 5
		view := o.Views
		m := o.Machine.(*machine.Machine)
		view.Document = m.Document
		view.Evacuations = m.Evacuations
		o.Views = view
	}
	for _, vm := range vms {
		f.add(vm)
	}
	return f
}

func (f *seedCluster) add(vm ids.VMID) {
	f.members[vm] = &member{vm: vm, dir: filepath.Join(f.dir, string(vm))}
	Expect(f.start(vm)).To(Succeed())
}

// wipe stops a VM, deletes its files and starts it again.
func (f *seedCluster) wipe(vm ids.VMID) {
	f.kill(vm)
	Expect(os.RemoveAll(f.members[vm].dir)).To(Succeed())
	Expect(f.start(vm)).To(Succeed())
}

// wipeTogether stops two VMs before either starts again without its files.
func (f *seedCluster) wipeTogether(first, second ids.VMID) {
	f.kill(first)
	f.kill(second)
	for _, vm := range []ids.VMID{first, second} {
		Expect(os.RemoveAll(f.members[vm].dir)).To(Succeed())
		Expect(f.start(vm)).To(Succeed())
	}
}

// follower returns a voter that is not the leader.
func (f *seedCluster) follower() ids.VMID {
	leader := f.leader()
	others := slices.DeleteFunc(slices.Sorted(maps.Keys(f.voters())), func(vm ids.VMID) bool { return vm == leader })
	return others[0]
}

// stop stops a VM as its process does on SIGTERM, and removes it.
func (f *seedCluster) stop(vm ids.VMID) {
	m := f.members[vm]
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	Expect(m.replica.Close(ctx)).To(Succeed())
	Expect(ctx.Err()).NotTo(HaveOccurred(), "the hand-over lasted to its limit")
	m.endpoint.Listen(nil)
	m.server.Close()
	delete(f.members, vm)
}

// awaitLearner waits until a VM is a learner that could become a voter.
func (f *seedCluster) awaitLearner(vm ids.VMID) {
	Eventually(func() bool {
		leader, caughtUp := f.members[f.leader()].replica, false
		Expect(leader.Do(context.Background(), func() { caughtUp = leader.node.CaughtUp(f.members[vm].replica.ID()) })).To(Succeed())
		return caughtUp
	}, waitTimeout, 20*time.Millisecond).Should(BeTrue())
}

// voters returns the voters as known to the leader.
func (f *seedCluster) voters() map[ids.VMID]raft.ReplicaID {
	list := map[ids.VMID]raft.ReplicaID{}
	for _, id := range f.members[f.leader()].replica.published.Load().members.Voters {
		list[id.VM] = id
	}
	return list
}

// awaitVoters waits until the voters are exactly the current replicas of these
// VMs.
func (f *seedCluster) awaitVoters(vms ...ids.VMID) {
	Eventually(func() error {
		voters := f.voters()
		if len(voters) != len(vms) {
			return fmt.Errorf("%d voters: %v", len(voters), voters)
		}
		for _, vm := range vms {
			if voters[vm] != f.members[vm].replica.ID() {
				return fmt.Errorf("%s is not a voter under its present identity", vm)
			}
		}
		return nil
	}, waitTimeout, 20*time.Millisecond).Should(Succeed())
}

func (f *seedCluster) publish(at ids.VMID, version uint64, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.members[at].server.Publish(ctx, &catalog.Document{Version: version, Body: []byte(body)})
}

// publishUntilAcked publishes at a VM until the document is acknowledged, as
// operators do.
func (f *seedCluster) publishUntilAcked(at ids.VMID, version uint64, body string) {
	Eventually(func() error { return f.publish(at, version, body) }, waitTimeout, 20*time.Millisecond).Should(Succeed())
}

func (f *seedCluster) read(at ids.VMID) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d, err := f.members[at].server.ReadDocument(ctx)
	if err != nil || d == nil {
		return "", err
	}
	return fmt.Sprintf("%d %s", d.Version, d.Body), nil
}

func (f *seedCluster) awaitRead(at ids.VMID, want string) {
	Eventually(func() (string, error) { return f.read(at) }, waitTimeout, 20*time.Millisecond).Should(Equal(want))
}

var _ = ginkgo.Describe("control VMs that discover each other from seeds", func() {
	var f *seedCluster
	all := []ids.VMID{"a", "b", "c", "d", "e"}

	start := func() {
		f = newSeedCluster(ginkgo.GinkgoT().TempDir(), true, all...)
		ginkgo.DeferCleanup(func() { f.stopAll() })
		f.awaitVoters(all...)
		f.bootstrap = false
	}

	ginkgo.It("form one group, including the VMs that are not seeds", func() {
		start()
		f.publishUntilAcked("e", 1, "one")
		for _, vm := range all {
			f.awaitRead(vm, "1 one")
		}
	})

	// Guards against a seed with an empty disk that starts a second group
	// alongside the one it was a member of.
	ginkgo.It("do not bootstrap a group unless it is allowed", func() {
		f = newSeedCluster(ginkgo.GinkgoT().TempDir(), false, "a", "b", "c")
		ginkgo.DeferCleanup(func() { f.stopAll() })
		Consistently(func() bool {
			for _, m := range f.members {
				if !m.replica.published.Load().members.IsEmpty() {
					return false
				}
			}
			return true
		}, time.Second, 50*time.Millisecond).Should(BeTrue())
	})

	ginkgo.It("keep the first content of the highest version and acknowledge other documents", func() {
		start()
		f.publishUntilAcked("a", 5, "five")
		Expect(f.publish("b", 5, "another five")).To(Succeed())
		Expect(f.publish("c", 4, "four")).To(Succeed())
		f.awaitRead("d", "5 five")
		f.publishUntilAcked("d", 9, "nine")
		f.awaitRead("a", "9 nine")
	})

	ginkgo.It("lose no document with two disks and readmit the VMs as voters under a new identity", func() {
		start()
		f.publishUntilAcked("a", 1, "one")
		f.wipe("a")
		f.wipe("b")
		f.awaitVoters(all...)
		f.awaitRead("a", "1 one")
		f.wipe("c")
		f.wipe("d")
		f.awaitVoters(all...)
		f.awaitRead("e", "1 one")
	})

	ginkgo.It("replace a lost VM by one at a new address", func() {
		start()
		f.publishUntilAcked("a", 1, "one")
		f.kill("b")
		f.add("f")
		f.awaitVoters("a", "c", "d", "e", "f")
		f.awaitRead("f", "1 one")
	})

	// Guards against a planned stop that takes a voter away although a successor is
	// ready: until the silence of the stopped VM is noticed, the group bears one
	// loss less than it should, and two lost disks leave it without a majority for
	// good.
	ginkgo.DescribeTable("bear two lost disks right after a planned replacement",
		func(pick func() ids.VMID) {
			start()
			f.publishUntilAcked("a", 1, "one")
			f.add("f")
			f.awaitLearner("f")
			replaced := pick()
			rest := slices.DeleteFunc(slices.Clone(all), func(vm ids.VMID) bool { return vm == replaced })
			f.stop(replaced)
			f.wipeTogether(rest[2], rest[3])
			f.awaitRead(rest[0], "1 one")
			f.awaitVoters(append(rest, "f")...)
			f.publishUntilAcked(rest[2], 2, "two")
			f.awaitRead("f", "2 two")
		},
		ginkgo.Entry("of a follower", func() ids.VMID { return f.follower() }),
		ginkgo.Entry("of the leader", func() ids.VMID { return f.leader() }),
	)

	// Guards against a stop that waits for a successor that does not exist, and
	// against a vote that is taken away though nobody gets it.
	ginkgo.It("keep the vote of a stopped VM that has no successor", func() {
		start()
		stopped := f.follower()
		member := f.members[stopped]
		f.stop(stopped)
		f.publishUntilAcked(f.leader(), 1, "one")
		Consistently(f.voters, 500*time.Millisecond, 50*time.Millisecond).Should(HaveKey(stopped))
		f.members[stopped] = member
		Expect(f.start(stopped)).To(Succeed())
		f.awaitVoters(all...)
	})

	ginkgo.It("keep acknowledged documents when all VMs are killed at once", func() {
		start()
		f.publishUntilAcked("a", 3, "three")
		for _, vm := range all {
			f.kill(vm)
		}
		for _, vm := range all {
			Expect(f.start(vm)).To(Succeed())
		}
		f.awaitRead("c", "3 three")
	})

	// Guards against a partitioned leader that returns a document which has
	// been replaced in the meantime.
	ginkgo.It("reject reads at a partitioned leader", func() {
		start()
		f.publishUntilAcked("a", 1, "one")
		old := f.leader()
		f.isolate(old)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := f.members[old].server.ReadDocument(ctx)
		Expect(errors.Is(err, ErrNotCurrent)).To(BeTrue(), "%v", err)
	})

	ginkgo.It("reject a document while too few disks would hold it", func() {
		f = newSeedCluster(ginkgo.GinkgoT().TempDir(), true, "a", "b", "c")
		ginkgo.DeferCleanup(func() { f.stopAll() })
		f.awaitVoters("a", "b", "c")
		Expect(f.publish("a", 1, "one")).NotTo(Succeed())
		f.add("d")
		f.add("e")
		f.awaitVoters(all...)
		Expect(f.publish("a", 1, "one")).To(Succeed())
	})

	// Guards against a member that was replaced while it was down and never
	// rejoins: its log still lists it as a voter, and nobody sends it messages.
	ginkgo.It("readmit a VM that was replaced while it was down", func() {
		start()
		f.kill("e")
		f.add("f")
		f.awaitVoters("a", "b", "c", "d", "f")
		Expect(f.start("e")).To(Succeed())
		f.publishUntilAcked("a", 2, "two")
		f.awaitRead("e", "2 two")
	})
})

var _ = ginkgo.Describe("planVoterChange", func() {
	id := func(vm ids.VMID) raft.ReplicaID { return raft.ReplicaID{VM: vm, Incarnation: 1} }
	voter := func(vm ids.VMID, silent time.Duration) memberHealth {
		return memberHealth{id: id(vm), voter: true, silence: silent}
	}
	learner := func(vm ids.VMID, caughtUp bool, silent time.Duration) memberHealth {
		return memberHealth{id: id(vm), caughtUp: caughtUp, silence: silent}
	}
	leaving := func(vm ids.VMID) memberHealth {
		return memberHealth{id: id(vm), voter: true, leaving: true}
	}
	three := []memberHealth{voter("a", 0), voter("b", 0), voter("c", 0)}
	five := append(three[:3:3], voter("d", 0), voter("e", 0))

	ginkgo.DescribeTable("returns",
		func(members []memberHealth, want *raft.MembersChange) {
			change, due := planVoterChange(members, 5)
			Expect(due).To(Equal(want != nil))
			if want != nil {
				Expect(change).To(Equal(*want))
			}
		},
		ginkgo.Entry("no change for a complete group", five, nil),
		ginkgo.Entry("a promotion while voters are missing", append(three[:3:3], learner("d", true, 0)), &raft.MembersChange{Kind: raft.PromoteLearner, ID: id("d")}),
		ginkgo.Entry("no promotion of a learner that lags behind", append(three[:3:3], learner("d", false, 0)), nil),
		ginkgo.Entry("no removal of a silent voter without a successor", append(five[:4:4], voter("e", time.Hour)), nil),
		ginkgo.Entry("the promotion of a successor for a silent voter", append(five[:4:4], voter("e", voterLossTimeout+1), learner("f", true, 0)), &raft.MembersChange{Kind: raft.PromoteLearner, ID: id("f")}),
		ginkgo.Entry("the removal of a silent voter whose successor votes", append(five[:4:4], voter("e", voterLossTimeout+1), voter("f", 0)), &raft.MembersChange{Kind: raft.RemoveMember, ID: id("e")}),
		ginkgo.Entry("the promotion of a successor for a leaving voter", append(five[:4:4], leaving("e"), learner("f", true, 0)), &raft.MembersChange{Kind: raft.PromoteLearner, ID: id("f")}),
		ginkgo.Entry("the removal of a leaving voter before that of a silent one", append(five[:3:3], voter("d", time.Hour), leaving("e"), voter("f", 0)), &raft.MembersChange{Kind: raft.RemoveMember, ID: id("e")}),
		ginkgo.Entry("no removal of a leaving voter without a successor", append(five[:4:4], leaving("e")), nil),
		ginkgo.Entry("no removal while more voters than needed are all well", append(five[:5:5], voter("f", 0)), nil),
		ginkgo.Entry("no removal of a voter that is silent for a short time", append(five[:4:4], voter("e", voterLossTimeout), learner("f", true, 0)), nil),
		ginkgo.Entry("the removal of a learner after a long silence", append(five[:5:5], learner("f", false, learnerRemovalTimeout+1)), &raft.MembersChange{Kind: raft.RemoveMember, ID: id("f")}),
	)
})
