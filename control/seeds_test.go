package control

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/machine"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/transport"
)

// found is a group of control VMs that find each other from three seeds. It
// uses cluster for its members and its network.
type found struct {
	*cluster
	dir       string
	bootstrap bool
}

var seedNames = []string{"a", "b", "c"}

func newFound(dir string, bootstrap bool, vms ...ids.VMID) *found {
	f := &found{cluster: &cluster{mem: transport.NewMemory(), members: map[ids.VMID]*member{}}, dir: dir, bootstrap: bootstrap}
	f.adjust = func(o *Options) {
		o.Seeds = func() []string { return seedNames }
		o.Bootstrap = f.bootstrap
		o.WantedVoters = 5
		view := o.Views
		m := o.Machine.(*machine.Machine)
		view.Document = m.Document
		o.Views = view
	}
	for _, vm := range vms {
		f.add(vm)
	}
	return f
}

func (f *found) add(vm ids.VMID) {
	f.members[vm] = &member{vm: vm, dir: filepath.Join(f.dir, string(vm))}
	Expect(f.start(vm)).To(Succeed())
}

// wipe ends a VM, empties its disk and starts it again.
func (f *found) wipe(vm ids.VMID) {
	f.kill(vm)
	Expect(os.RemoveAll(f.members[vm].dir)).To(Succeed())
	Expect(f.start(vm)).To(Succeed())
}

// voters gives the voters as the leader knows them.
func (f *found) voters() map[ids.VMID]raft.ReplicaID {
	list := map[ids.VMID]raft.ReplicaID{}
	for _, id := range f.members[f.leader()].replica.published.Load().members.Voters {
		list[id.VM] = id
	}
	return list
}

// awaitVoters waits until the voters are the present replicas of these VMs.
func (f *found) awaitVoters(vms ...ids.VMID) {
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
	}, patience, 20*time.Millisecond).Should(Succeed())
}

func (f *found) publish(at ids.VMID, version uint64, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.members[at].server.Publish(ctx, &catalog.Document{Version: version, Body: []byte(body)})
}

// awaitPublished publishes at a VM until it is acknowledged, as operators do.
func (f *found) awaitPublished(at ids.VMID, version uint64, body string) {
	Eventually(func() error { return f.publish(at, version, body) }, patience, 20*time.Millisecond).Should(Succeed())
}

func (f *found) read(at ids.VMID) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d, err := f.members[at].server.ReadDocument(ctx)
	if err != nil || d == nil {
		return "", err
	}
	return fmt.Sprintf("%d %s", d.Version, d.Body), nil
}

func (f *found) awaitRead(at ids.VMID, want string) {
	Eventually(func() (string, error) { return f.read(at) }, patience, 20*time.Millisecond).Should(Equal(want))
}

var _ = ginkgo.Describe("control VMs that find each other from seeds", func() {
	var f *found
	all := []ids.VMID{"a", "b", "c", "d", "e"}

	begin := func() {
		f = newFound(ginkgo.GinkgoT().TempDir(), true, all...)
		ginkgo.DeferCleanup(func() { f.stopAll() })
		f.awaitVoters(all...)
		f.bootstrap = false
	}

	ginkgo.It("form one group of all, also those that are no seed", func() {
		begin()
		f.awaitPublished("e", 1, "one")
		for _, vm := range all {
			f.awaitRead(vm, "1 one")
		}
	})

	// A seed that came back with an empty disk must never start a second
	// group beside the one that it has forgotten.
	ginkgo.It("start no group after the first start", func() {
		f = newFound(ginkgo.GinkgoT().TempDir(), false, "a", "b", "c")
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

	ginkgo.It("keep the first content of the highest version and acknowledge the others", func() {
		begin()
		f.awaitPublished("a", 5, "five")
		Expect(f.publish("b", 5, "another five")).To(Succeed())
		Expect(f.publish("c", 4, "four")).To(Succeed())
		f.awaitRead("d", "5 five")
		f.awaitPublished("d", 9, "nine")
		f.awaitRead("a", "9 nine")
	})

	ginkgo.It("lose nothing with two disks and take the VMs back as voters under a new identity", func() {
		begin()
		f.awaitPublished("a", 1, "one")
		f.wipe("a")
		f.wipe("b")
		f.awaitVoters(all...)
		f.awaitRead("a", "1 one")
		f.wipe("c")
		f.wipe("d")
		f.awaitVoters(all...)
		f.awaitRead("e", "1 one")
	})

	ginkgo.It("put a VM at a new address in the place of one that is gone", func() {
		begin()
		f.awaitPublished("a", 1, "one")
		f.kill("b")
		f.add("f")
		f.awaitVoters("a", "c", "d", "e", "f")
		f.awaitRead("f", "1 one")
	})

	ginkgo.It("keep what was acknowledged when all are killed at once", func() {
		begin()
		f.awaitPublished("a", 3, "three")
		for _, vm := range all {
			f.kill(vm)
		}
		for _, vm := range all {
			Expect(f.start(vm)).To(Succeed())
		}
		f.awaitRead("c", "3 three")
	})

	// A leader that is cut off would answer with a document that was replaced
	// meanwhile.
	ginkgo.It("answer no read at a leader that is cut off", func() {
		begin()
		f.awaitPublished("a", 1, "one")
		old := f.leader()
		f.silence(old)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := f.members[old].server.ReadDocument(ctx)
		Expect(errors.Is(err, ErrNotCurrent)).To(BeTrue(), "%v", err)
	})

	ginkgo.It("refuse a document while too few disks would hold it", func() {
		f = newFound(ginkgo.GinkgoT().TempDir(), true, "a", "b", "c")
		ginkgo.DeferCleanup(func() { f.stopAll() })
		f.awaitVoters("a", "b", "c")
		Expect(f.publish("a", 1, "one")).NotTo(Succeed())
		f.add("d")
		f.add("e")
		f.awaitVoters(all...)
		Expect(f.publish("a", 1, "one")).To(Succeed())
	})

	// A member that was replaced while it was away holds a log in which it
	// still votes; nobody writes to it.
	ginkgo.It("take a VM back that was replaced while it was away", func() {
		begin()
		f.kill("e")
		f.add("f")
		f.awaitVoters("a", "b", "c", "d", "f")
		Expect(f.start("e")).To(Succeed())
		f.awaitPublished("a", 2, "two")
		f.awaitRead("e", "2 two")
	})
})

var _ = ginkgo.Describe("the plan of voters", func() {
	id := func(vm ids.VMID) raft.ReplicaID { return raft.ReplicaID{VM: vm, Incarnation: 1} }
	voter := func(vm ids.VMID, silent time.Duration) memberSign {
		return memberSign{id: id(vm), voter: true, silent: silent}
	}
	learner := func(vm ids.VMID, caughtUp bool, silent time.Duration) memberSign {
		return memberSign{id: id(vm), caughtUp: caughtUp, silent: silent}
	}
	three := []memberSign{voter("a", 0), voter("b", 0), voter("c", 0)}
	five := append(three[:3:3], voter("d", 0), voter("e", 0))

	ginkgo.DescribeTable("gives",
		func(signs []memberSign, want *raft.MembersChange) {
			change, due := planVoters(signs, 5)
			Expect(due).To(Equal(want != nil))
			if want != nil {
				Expect(change).To(Equal(*want))
			}
		},
		ginkgo.Entry("nothing for a whole group", five, nil),
		ginkgo.Entry("a promotion while voters are missing", append(three[:3:3], learner("d", true, 0)), &raft.MembersChange{Kind: raft.PromoteLearner, ID: id("d")}),
		ginkgo.Entry("no promotion of a learner that lags", append(three[:3:3], learner("d", false, 0)), nil),
		ginkgo.Entry("no removal of a silent voter without a successor", append(five[:4:4], voter("e", time.Hour)), nil),
		ginkgo.Entry("the removal of a silent voter whose successor is ready", append(five[:4:4], voter("e", lostAfter+1), learner("f", true, 0)), &raft.MembersChange{Kind: raft.RemoveMember, ID: id("e")}),
		ginkgo.Entry("patience with a voter that is silent for a short time", append(five[:4:4], voter("e", lostAfter), learner("f", true, 0)), nil),
		ginkgo.Entry("the removal of a learner that is gone", append(five[:5:5], learner("f", false, forgottenAfter+1)), &raft.MembersChange{Kind: raft.RemoveMember, ID: id("f")}),
	)
})
