package transport

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a watch of a peer's progress", func() {
	const period = 100 * time.Millisecond
	var now time.Time
	var watch *progressWatch
	check := func(after time.Duration, received uint64) bool {
		now = now.Add(after)
		return watch.check(now, received)
	}
	ginkgo.BeforeEach(func() {
		now = time.Unix(1000, 0)
		watch = &progressWatch{period: period, checkedAt: now}
		Expect(check(period, 1)).To(BeFalse())
	})

	ginkgo.It("finds a peer silent that sends nothing for two periods", func() {
		Expect(check(period, 1)).To(BeFalse())
		Expect(check(period, 1)).To(BeTrue())
	})

	ginkgo.It("does not take a freeze of this process for silence of the peer", func() {
		Expect(check(period, 1)).To(BeFalse())
		Expect(check(time.Hour, 1)).To(BeFalse())
		Expect(check(period, 1)).To(BeFalse())
		Expect(check(0, 2)).To(BeFalse())
		Expect(check(period, 2)).To(BeFalse())
		Expect(check(period, 2)).To(BeTrue())
	})
})
