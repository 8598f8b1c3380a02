package control

import (
	"context"
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
)

func (f *seedCluster) evacuate(at ids.VMID, start bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.members[at].server.Evacuate(ctx, "z1", start)
}

// orderUntilAcked resends an order at a VM until it is acknowledged, as operators do.
func (f *seedCluster) orderUntilAcked(at ids.VMID, start bool) {
	Eventually(func() error { return f.evacuate(at, start) }, waitTimeout, 20*time.Millisecond).Should(Succeed())
}

// awaitEvacuated waits until a VM proves the state of the data centre, and has
// applied it.
func (f *seedCluster) awaitEvacuated(at ids.VMID, evacuated bool) {
	Eventually(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		table, err := f.members[at].server.readEvacuations(ctx)
		return err == nil && table.IsEvacuated("z1") == evacuated && f.members[at].server.Evacuations().IsEvacuated("z1") == evacuated
	}, waitTimeout, 20*time.Millisecond).Should(BeTrue())
}

var _ = ginkgo.Describe("orders to evacuate a data centre", func() {
	var f *seedCluster
	all := []ids.VMID{"a", "b", "c", "d", "e"}
	ginkgo.BeforeEach(func() {
		f = newSeedCluster(ginkgo.GinkgoT().TempDir(), true, all...)
		ginkgo.DeferCleanup(func() { f.stopAll() })
		f.awaitVoters(all...)
		f.bootstrap = false
	})

	ginkgo.It("are taken by every VM, also again, and known to all", func() {
		f.orderUntilAcked("e", true)
		f.orderUntilAcked("b", true)
		for _, vm := range all {
			f.awaitEvacuated(vm, true)
		}
		f.orderUntilAcked("c", false)
		f.orderUntilAcked("d", false)
		for _, vm := range all {
			f.awaitEvacuated(vm, false)
		}
	})

	// Guards against an acknowledged order that is lost with power or disks.
	ginkgo.It("survive a kill of all VMs and the loss of two disks", func() {
		f.orderUntilAcked("a", true)
		for _, vm := range all {
			f.kill(vm)
		}
		for _, vm := range all {
			Expect(f.start(vm)).To(Succeed())
		}
		f.awaitEvacuated("c", true)
		f.wipeTogether("a", "b")
		f.awaitVoters(all...)
		f.awaitEvacuated("a", true)
		f.orderUntilAcked("b", false)
		f.awaitEvacuated("e", false)
	})

	// Guards against a leader that ends between the order and its acknowledgement:
	// the resent order is acknowledged, and the one before does not come back.
	ginkgo.It("are acknowledged when they are resent after the leader was killed", func() {
		for range 3 {
			leader := f.leader()
			other := f.follower()
			server := f.members[leader].server
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_ = server.Evacuate(ctx, "z1", true)
			}()
			f.kill(leader)
			<-ended
			f.orderUntilAcked(other, true)
			f.orderUntilAcked(other, false)
			Expect(f.start(leader)).To(Succeed())
			f.awaitVoters(all...)
			f.awaitEvacuated(leader, false)
		}
	})

	// Guards against two operators who both hear that their order is in force.
	ginkgo.It("that race end in one state, and all but one kind are outdated", func() {
		f.orderUntilAcked("a", true)
		f.orderUntilAcked("a", false)
		for round := range 10 {
			start := round%2 == 0
			results := make(chan error, 2)
			go func() { results <- f.evacuate("b", start) }()
			go func() { results <- f.evacuate("c", !start) }()
			for range 2 {
				err := <-results
				if err != nil && !errors.Is(err, ErrOutdatedOrder) {
					Expect(err).To(MatchError(ErrNotCurrent))
				}
			}
			f.orderUntilAcked("d", false)
			f.awaitEvacuated("e", false)
		}
	})

	// Guards against an acknowledgement from the state of before a partition.
	ginkgo.It("are not acknowledged by a VM that is cut off with an older state", func() {
		f.orderUntilAcked("a", true)
		cutOff := f.follower()
		f.awaitEvacuated(cutOff, true)
		f.isolate(cutOff)
		other := f.leader()
		f.orderUntilAcked(other, false)
		Expect(f.evacuate(cutOff, true)).NotTo(Succeed())
	})

	// Guards against a minority that takes orders.
	ginkgo.It("are refused while too few disks would hold them", func() {
		for _, vm := range []ids.VMID{"a", "b", "c"} {
			f.kill(vm)
		}
		Expect(f.evacuate("d", true)).NotTo(Succeed())
		for _, vm := range []ids.VMID{"a", "b", "c"} {
			Expect(f.start(vm)).To(Succeed())
		}
		f.orderUntilAcked("a", true)
	})
})
