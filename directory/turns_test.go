package directory

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the turns to read the platform's list", func() {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }

	ginkgo.DescribeTable("decide by rank and progress",
		func(t turn, due bool) { Expect(t.due(now)).To(Equal(due)) },
		ginkgo.Entry("the first reads again after the interval", turn{hasList: true, progressAt: now, triedAt: ago(readInterval)}, true),
		ginkgo.Entry("and not before", turn{hasList: true, progressAt: ago(time.Minute), triedAt: ago(readInterval - 1)}, false),
		ginkgo.Entry("the second leaves it to the first", turn{rank: 1, hasList: true, progressAt: ago(readInterval + takeoverDelay - 1)}, false),
		ginkgo.Entry("until no newer list comes", turn{rank: 1, hasList: true, progressAt: ago(readInterval + takeoverDelay)}, true),
		ginkgo.Entry("the third waits for the second", turn{rank: 2, hasList: true, progressAt: ago(readInterval + takeoverDelay)}, false),
		ginkgo.Entry("a failed reading is repeated after the interval", turn{rank: 1, hasList: true, progressAt: ago(time.Minute), triedAt: ago(readInterval)}, true),
		ginkgo.Entry("and not at once", turn{rank: 1, hasList: true, progressAt: ago(time.Minute), triedAt: ago(readInterval - 1)}, false),
		ginkgo.Entry("without any list others take over sooner", turn{rank: 3, progressAt: ago(3 * startTakeoverDelay)}, true),
		ginkgo.Entry("one after the other", turn{rank: 4, progressAt: ago(3 * startTakeoverDelay)}, false),
	)

	var members []string
	for i := range 5 {
		members = append(members, fmt.Sprintf("10.0.0.%d:7740", i))
	}

	// Guards against lists that are read by every control VM, and against data
	// centres that nobody reads.
	ginkgo.It("give each data centre to one control VM, and to others when it is gone", func() {
		first := map[string]int{}
		for i := range 20 {
			order := readingOrder(fmt.Sprint("zone-", i), members, nil)
			Expect(order).To(ConsistOf(members))
			Expect(rankIn(order, "10.9.9.9:7740")).To(Equal(len(members)))
			first[order[0]]++
		}
		Expect(first).To(HaveLen(len(members)))
	})

	// Guards against a list that nobody reads: the VM whose turn it was is gone, and
	// the age of its last reading becomes known more exactly with each exchange, which
	// the others took for one newer reading after the other.
	ginkgo.It("pass on when only the age of the last reading becomes known better", func() {
		r := &reader{lists: newLists(), self: members[0], members: func() []string { return members }, zones: map[string]*zoneReading{}}
		const zone = "z"
		r.zones[zone] = &zoneReading{progressAt: now}
		rank := rankIn(readingOrder(zone, members, nil), r.self)
		Expect(rank).To(BeNumerically(">", 0))
		limit := readInterval + time.Duration(rank)*takeoverDelay
		readAt := now.Add(-100 * time.Millisecond)
		taken := time.Duration(0)
		for passed := time.Duration(0); taken == 0 && passed <= 2*limit; passed += readTick {
			// Each exchange states the reading a little later, and never later than it was.
			known := readAt.Add(-100 * time.Millisecond / time.Duration(1+passed/readTick))
			r.lists.put(runnersPrefix+zone, known, encodeSet([]Runner{{ID: "i"}}))
			if len(r.dueZones(now.Add(passed))) > 0 {
				taken = passed
			}
		}
		Expect(taken).To(BeNumerically("~", limit, readTick))
	})

	// Guards against a list that is read over the paid links between regions.
	ginkgo.It("go to the control VMs near the list first", func() {
		roundTrips := map[string]time.Duration{
			members[0]: 70 * time.Millisecond, members[1]: 10 * time.Millisecond,
			members[2]: 25 * time.Millisecond, members[3]: 26 * time.Millisecond,
		}
		for i := range 20 {
			order := readingOrder(fmt.Sprint("zone-", i), members, roundTrips)
			Expect(order).To(ConsistOf(members))
			Expect(order[:2]).To(ConsistOf(members[1], members[2]))
		}
	})

	ginkgo.It("take the round-trip times from what the control VMs report", func() {
		lister := newFakeLister()
		lister.roundTrip = 72 * time.Millisecond
		server := newTestServer(lister)
		Expect(server.reader.ping(ginkgo.GinkgoT().Context())).To(Succeed())
		Expect(server.lists.roundTrips()).To(Equal(map[string]time.Duration{"c1": 70 * time.Millisecond}))
	})

	// Guards against a control VM that stops reading while others see its lists
	// stay as old as they were.
	ginkgo.It("pass on when the list gets no newer, and back when it does", func() {
		server := newTestServer(newFakeLister())
		const zone = "z"
		peer := "c2"
		for n := 3; readingOrder(zone, []string{"c1", peer}, nil)[0] != peer; n++ {
			peer = fmt.Sprint("c", n)
		}
		server.opts.Control.(*fakeControl).members = []string{"c1", peer}
		dueAt := func(at time.Time) bool { return slices.Contains(server.reader.dueZones(at), zone) }
		server.lists.put(runnersPrefix+zone, now, encodeSet[Runner](nil))
		Expect(dueAt(now)).To(BeFalse())
		server.lists.put(runnersPrefix+zone, now.Add(readInterval), encodeSet[Runner](nil))
		Expect(dueAt(now.Add(2 * readInterval))).To(BeFalse())
		Expect(dueAt(now.Add(3*readInterval + takeoverDelay - 1))).To(BeFalse())
		Expect(dueAt(now.Add(3*readInterval + takeoverDelay))).To(BeTrue())
	})

	ginkgo.It("are due once while a reading goes on", func() {
		server := newTestServer(newFakeLister())
		Expect(server.reader.dueZones(now)).To(ConsistOf("y", "z"))
		Expect(server.reader.dueZones(now.Add(time.Minute))).To(BeEmpty())
		server.reader.read(ginkgo.GinkgoT().Context(), "y")
		Expect(server.reader.complete()).To(BeFalse())
		Expect(server.reader.dueZones(now.Add(time.Minute))).To(ConsistOf("y"))
		server.reader.read(ginkgo.GinkgoT().Context(), "z")
		Expect(server.reader.complete()).To(BeTrue())
	})
})
