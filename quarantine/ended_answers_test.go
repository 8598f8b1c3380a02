package quarantine

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("an answer that ends with its connection", func() {
	const part Part = 1
	var e *Evidence
	ginkgo.BeforeEach(func() { e = NewEvidence(testDoubt) })
	lists := func(process string, asOf float64) { list(e, process, asOf) }
	answered := func() bool { return e.HasAnswer(at(20), part) }

	// Guards against sound parts that never count as answered because their short answers
	// have neither a length nor chunks (review/12).
	ginkgo.It("counts once the runner answers later and the list shows the same start as of then", func() {
		e.RecordEnded(at(10), exchange("1", 9, 9), []Part{part})
		lists("1", 30)
		Expect(answered()).To(BeFalse(), "a process that has ended stays listed")
		e.RecordAlive(at(11), exchange("1", 9.5, 9.9))
		lists("1", 30)
		Expect(answered()).To(BeFalse(), "the later answer was to an earlier request")
		e.RecordAlive(at(12), exchange("1", 11, 11))
		lists("1", 11)
		Expect(answered()).To(BeFalse(), "the list is from before the later answer")
		lists("1", 12)
		Expect(answered()).To(BeTrue())
		Expect(e.HasAnswer(at(10).Add(evidenceWindow+1), part)).To(BeFalse(), "it counts from its end on")
		Expect(e.UnsettledRunners()).To(BeEmpty())
	})

	ginkgo.It("counts at once if the runner answers a later request on an older connection", func() {
		e.RecordEnded(at(10), exchange("1", 9, 9), []Part{part})
		e.RecordAlive(at(12), exchange("1", 9.9, 11))
		Expect(answered()).To(BeTrue())
	})

	// Guards against the end of a crash that is taken for that of an answer.
	ginkgo.DescribeTable("does not count",
		func(process string, asOf time.Time) {
			e.RecordEnded(at(10), exchange("1", 9, 9), []Part{part})
			e.RecordAlive(at(12), exchange("1", 11, 11))
			e.RecordListed(start, Runners{"r": {Process: process, AsOf: asOf}})
			Expect(e.UnsettledRunners()).To(BeEmpty())
			lists("1", 30)
			Expect(answered()).To(BeFalse())
		},
		ginkgo.Entry("if the list shows another start", "2", start.Add(time.Hour)),
		ginkgo.Entry("if the runner is listed no more", "", time.Time{}),
		ginkgo.Entry("if the list does not tell starts apart", "1", time.Time{}),
	)

	ginkgo.It("does not take the place of a later answer", func() {
		e.RecordEnded(at(10), exchange("1", 9, 9), []Part{part})
		e.RecordAnswer(at(11), []Part{part})
		e.RecordAlive(at(12), exchange("1", 11, 11))
		lists("1", 12)
		Expect(e.HasAnswer(at(11).Add(evidenceWindow), part)).To(BeTrue())
	})

	ginkgo.It("is decided about with those that end soon after it, and takes no more room the more there are", func() {
		for i := range 4 * maxEndedParts {
			e.RecordEnded(at(float64(i)/1000), exchange(fmt.Sprint(i/maxEndedParts), 0, 0), []Part{Part(i)})
		}
		parts := 0
		for _, a := range e.ended {
			parts += len(a.parts)
			Expect(a.at.Sub(a.firstAt)).To(BeNumerically("<", endedInterval))
		}
		Expect(parts).To(BeNumerically("<=", maxEndedParts))
		Expect(len(e.ended)).To(BeNumerically("<=", maxEndedParts/200))
		e.RecordEnded(at(1000), exchange("1", 0, 0), nil)
		e.RecordEnded(at(1000), exchange("1", 0, 0), []Part{part})
		Expect(e.ended).To(HaveLen(1), "the others are older than a minute")
	})
})
