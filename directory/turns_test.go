package directory

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the turns to read the platform's list", func() {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }

	ginkgo.DescribeTable("decide by rank and age",
		func(t turn, due bool) {
			t.startedAt = ago(time.Second)
			Expect(t.due(now)).To(Equal(due))
		},
		ginkgo.Entry("the first reads again after the interval", turn{rank: 0, asOf: ago(readInterval)}, true),
		ginkgo.Entry("and not before", turn{rank: 0, asOf: ago(readInterval - 1)}, false),
		ginkgo.Entry("the second leaves it to the first", turn{rank: 1, asOf: ago(readInterval + takeoverDelay - 1)}, false),
		ginkgo.Entry("until its list is old", turn{rank: 1, asOf: ago(readInterval + takeoverDelay)}, true),
		ginkgo.Entry("the third waits for the second", turn{rank: 2, asOf: ago(readInterval + takeoverDelay)}, false),
		ginkgo.Entry("a failed reading is repeated after the interval", turn{rank: 0, asOf: ago(time.Minute), triedAt: ago(readInterval)}, true),
		ginkgo.Entry("and not at once", turn{rank: 0, asOf: ago(time.Minute), triedAt: ago(readInterval - 1)}, false),
		ginkgo.Entry("without any list others take over sooner", turn{rank: 3}, true),
		ginkgo.Entry("one after the other", turn{rank: 4}, false),
	)

	// Guards against lists that are read by every control VM, and against data
	// centres that nobody reads.
	ginkgo.It("give each data centre to one control VM, and to others when it is gone", func() {
		var members []string
		for i := range 5 {
			members = append(members, fmt.Sprintf("10.0.0.%d:7740", i))
		}
		first := map[string]int{}
		for i := range 20 {
			zone := fmt.Sprint("zone-", i)
			ranks := map[int]bool{}
			for _, m := range members {
				rank := rankOf(m, zone, members)
				ranks[rank] = true
				if rank == 0 {
					first[m]++
				}
			}
			Expect(ranks).To(HaveLen(len(members)))
			Expect(rankOf("10.9.9.9:7740", zone, members)).To(Equal(len(members)))
		}
		Expect(first).To(HaveLen(len(members)))
	})

	ginkgo.It("are due once while a reading goes on", func() {
		server := newTestServer(newFakeLister())
		server.reader.startedAt = ago(time.Second)
		Expect(server.reader.dueZones(now)).To(ConsistOf("y", "z"))
		Expect(server.reader.dueZones(now.Add(time.Minute))).To(BeEmpty())
		server.reader.read(ginkgo.GinkgoT().Context(), "y")
		Expect(server.reader.complete()).To(BeFalse())
		Expect(server.reader.dueZones(now.Add(time.Minute))).To(ConsistOf("y"))
		server.reader.read(ginkgo.GinkgoT().Context(), "z")
		Expect(server.reader.complete()).To(BeTrue())
	})
})
