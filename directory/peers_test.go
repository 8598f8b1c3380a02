package directory

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the exchange between control VMs", func() {
	var ctx context.Context
	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
	})

	ginkgo.It("brings lists and entry VMs from one to all through the leader", func() {
		c := newTestCluster(ctx, "c1", "c2", "c3")
		c.lister.set([]Runner{{ID: "r1", Zone: "y"}, {ID: "r2", Zone: "z"}})
		go c.client.Run(ctx)
		for name := range c.servers {
			Eventually(func() []Runner { return c.servers[name].lists.runners() }).WithTimeout(eventTimeout).Should(HaveLen(2))
			Eventually(func() []EntryVM { return c.servers[name].lists.entries() }).WithTimeout(eventTimeout).Should(HaveLen(1))
		}
		c.client.MarkDraining()
		for name := range c.servers {
			Eventually(func() bool {
				list := c.servers[name].lists.entries()
				return len(list) == 1 && list[0].Draining
			}).WithTimeout(eventTimeout).Should(BeTrue())
		}
	})

	// Guards against entry VMs that choose other assembling VMs for some seconds
	// after each election.
	ginkgo.It("keeps the entry VMs that a new leader's predecessor knew until all have reported", func() {
		server := newTestServer(newFakeLister())
		now := time.Now()
		a, b := EntryVM{Addr: "a", Zone: "z"}, EntryVM{Addr: "b", Zone: "z"}
		server.lists.putEntries(now, []EntryVM{a, b})
		server.lists.put(watchersPrefix+"c1", now, encodeSet([]EntryVM{a}))
		server.mergeReports(now.Add(rosterExpiry-1), now)
		Expect(server.lists.entries()).To(Equal([]EntryVM{a, b}))
		server.lists.put(watchersPrefix+"c1", now.Add(rosterExpiry), encodeSet([]EntryVM{a}))
		server.mergeReports(now.Add(rosterExpiry), now)
		Expect(server.lists.entries()).To(Equal([]EntryVM{a}))
	})

	ginkgo.It("drops the entry VMs of a control VM that does not report any more", func() {
		server := newTestServer(newFakeLister())
		now := time.Now()
		server.lists.put(watchersPrefix+"gone", now, encodeSet([]EntryVM{{Addr: "a"}}))
		Expect(server.lists.reportedEntries(now, now)).To(HaveKey("a"))
		Expect(server.lists.reportedEntries(now.Add(1), now)).To(BeEmpty())
		Expect(server.lists.asOf(watchersPrefix + "gone")).NotTo(BeZero())
		server.lists.reportedEntries(now.Add(2), now.Add(1))
		Expect(server.lists.asOf(watchersPrefix + "gone")).To(BeZero())
	})

	// Guards against entry VMs that know no others for seconds after a power loss.
	ginkgo.It("is updated at once when an entry VM comes or drains", func() {
		server := newTestServer(newFakeLister())
		now := time.Now()
		vm := EntryVM{Addr: "a", Zone: "z"}
		server.touchWatcher(now, &watchCall{From: vm})
		Expect(server.rosterChanged).To(Receive())
		server.touchWatcher(now, &watchCall{From: vm})
		Expect(server.rosterChanged).NotTo(Receive())
		vm.Draining = true
		server.touchWatcher(now, &watchCall{From: vm})
		server.touchWatcher(now, &watchCall{From: EntryVM{Addr: "b"}})
		Expect(server.rosterChanged).To(Receive())
	})

	ginkgo.It("ends the watch of an entry VM when the list of entry VMs changes", func() {
		server := newTestServer(newFakeLister())
		done := make(chan *watchReply, 1)
		call := &watchCall{Format: formatSets, Version: 1, WaitMS: uint32(maxWatchWait.Milliseconds())}
		entriesChanged := server.lists.nextChange(awaitedBy(call))
		reportsChanged := server.lists.nextChange(reportChanges)
		server.lists.put(watchersPrefix+"c2", time.Now(), encodeSet([]EntryVM{{Addr: "a"}}))
		Expect(reportsChanged).To(BeClosed())
		Expect(entriesChanged).NotTo(BeClosed(), "reports are for control VMs")
		go func() {
			reply, _ := server.watch(ctx, call)
			done <- reply
		}()
		server.lists.putEntries(time.Now(), []EntryVM{{Addr: "a", Zone: "z"}})
		Expect(entriesChanged).To(BeClosed())
		var reply *watchReply
		Eventually(done).WithTimeout(eventTimeout).Should(Receive(&reply))
		Expect(reply.Changes.Updates).To(HaveLen(1))
	})

	// Guards against pieces that are sent to a VM that is stopping.
	ginkgo.It("takes an entry VM as draining if one control VM says so", func() {
		server := newTestServer(newFakeLister())
		now := time.Now()
		server.lists.put(watchersPrefix+"c1", now, encodeSet([]EntryVM{{Addr: "a", Draining: true}}))
		server.lists.put(watchersPrefix+"c2", now, encodeSet([]EntryVM{{Addr: "a"}}))
		Expect(server.lists.reportedEntries(now, now)["a"].Draining).To(BeTrue())
	})

	// Guards against a list of entry VMs that shrinks to those of one control VM
	// while there is no leader.
	ginkgo.It("leaves the entry VMs as they are while no leader is known", func() {
		server := newTestServer(newFakeLister())
		server.opts.Control.(*fakeControl).leader = "c2"
		all := []EntryVM{{Addr: "a", Zone: "z"}, {Addr: "b", Zone: "z"}}
		server.lists.putEntries(time.Now(), all)
		server.watchers.touch(time.Now(), all[0], nil)
		server.updateRoster(time.Now())
		Expect(server.lists.entries()).To(Equal(all))
		Expect(server.lists.asOf(watchersPrefix + "c1")).NotTo(BeZero())
	})
})

var _ = ginkgo.Describe("the choice of a control VM", func() {
	answer := func(addr string, ageMS int64) probeResult {
		return probeResult{addr: addr, reply: &watchReply{AgeMS: ageMS}}
	}
	results := func(list ...probeResult) <-chan probeResult {
		ch := make(chan probeResult, len(list))
		for _, r := range list {
			ch <- r
		}
		return ch
	}

	// Guards against entry VMs that move between control VMs of one region with
	// every search.
	ginkgo.It("stays with the current one unless another one is clearly nearer", func() {
		Expect(firstFresh(results(answer("c2", 0), answer("c1", 0)), 2, "c1")).To(Equal("c1"))
		Expect(firstFresh(results(answer("c2", 0)), 2, "c1")).To(Equal("c2"))
		Expect(firstFresh(results(answer("c2", 0), answer("c1", maxStaleness.Milliseconds())), 2, "c1")).To(Equal("c2"))
	})

	ginkgo.It("takes the first that is fresh, else one that answered", func() {
		Expect(firstFresh(results(answer("c3", -1), answer("c2", 0), answer("c1", 0)), 3, "")).To(Equal("c2"))
		Expect(firstFresh(results(probeResult{addr: "c1"}, answer("c2", -1)), 2, "c1")).To(Equal("c2"))
		Expect(firstFresh(results(probeResult{addr: "c1"}), 1, "c1")).To(BeEmpty())
	})

	// Guards against VMs that all turn to the leader after a power loss, over the
	// links between regions, because it is the first to be confirmed.
	ginkgo.It("takes the nearest while there is no document, but not the one just given up", func() {
		Expect(firstAnswer(results(probeResult{addr: "c3"}, answer("c2", -1), answer("c1", 0)), 3, "")).To(Equal("c2"))
		Expect(firstAnswer(results(answer("c2", -1), answer("c1", 0)), 2, "c2")).To(Equal("c1"))
		Expect(firstAnswer(results(answer("c2", -1), probeResult{addr: "c1"}), 2, "c2")).To(Equal("c2"))
		Expect(firstAnswer(results(probeResult{addr: "c1"}), 1, "")).To(BeEmpty())
	})

	// Guards against five copies of every list at each search.
	ginkgo.It("does not cost the lists, nor count as watching", func() {
		server := newTestServer(newFakeLister())
		server.lists.put(runnersPrefix+"z", time.Now(), encodeSet([]Runner{{ID: "a", Zone: "z"}}))
		server.opts.Control.(*fakeControl).publish(1)
		reply, err := server.watch(ginkgo.GinkgoT().Context(), &watchCall{From: EntryVM{Addr: "e"}, Format: formatSets, Probe: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply).To(Equal(&watchReply{Controls: []string{"c1"}, Format: formatSets}))
		Expect(server.watchers.list(time.Now())).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("documents", func() {
	ginkgo.It("travel as patches from the caller's version, whole to others", func() {
		ctx := ginkgo.GinkgoT().Context()
		c := newTestCluster(ctx, "c1")
		for version := range uint64(maxOldDocuments + 3) {
			c.controls["c1"].publish(version + 1)
			Expect(c.client.watch(ctx, "c1")).To(Succeed())
			Expect(c.version()).To(Equal(version + 1))
		}
		server := c.servers["c1"]
		known, err := server.replyTo(&watchCall{Format: formatSets, Version: maxOldDocuments + 2}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		Expect(known.Patch.Version).To(Equal(uint64(maxOldDocuments + 3)))
		Expect(known.Document).To(BeNil())
		unknown, err := server.replyTo(&watchCall{Format: formatSets, Version: 1}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		Expect(unknown.Patch).To(BeNil())
		Expect(unknown.Document.Version).To(Equal(uint64(maxOldDocuments + 3)))
	})

	// Guards against an entry VM that stays without a newer document because its
	// base differs, for instance after an operator restored a control VM.
	ginkgo.It("are asked for whole if a patch does not fit", func() {
		ctx := ginkgo.GinkgoT().Context()
		c := newTestCluster(ctx, "c1")
		c.controls["c1"].publish(10)
		Expect(c.client.watch(ctx, "c1")).To(Succeed())
		c.client.document.Body = []byte("another body that the patch was not made from")
		c.controls["c1"].publish(11)
		Expect(c.client.watch(ctx, "c1")).To(Succeed())
		Expect(c.version()).To(Equal(uint64(10)))
		Expect(c.client.watch(ctx, "c1")).To(Succeed())
		Expect(c.version()).To(Equal(uint64(11)))
	})
})
