package quarantine

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a runner that is lost", func() {
	const bad Part = 1
	var e *Evidence
	ginkgo.BeforeEach(func() { e = NewEvidence(testDoubt) })
	lists := func(process string, asOf float64) { list(e, process, asOf) }
	crashed := func(now float64) []string {
		var processes []string
		for _, c := range e.Report(at(now), nil).Crashes {
			Expect(c.Parts).To(Equal([]Part{bad}))
			if !c.Doubtful {
				processes = append(processes, c.Runner)
			}
		}
		return processes
	}

	// Guards against a crash that is forgotten because the next process under the same
	// ID answers before the list shows it (review/15).
	ginkgo.It("has crashed although it answers on a new connection, once the list shows a new process", func() {
		e.RecordLoss(at(10), exchange("1", 1, 9), []Part{bad})
		e.RecordAlive(at(13), exchange("1", 12.9, 13))
		lists("1", 12)
		Expect(crashed(13)).To(BeEmpty(), "in doubt")
		Expect(e.Report(at(13), nil).Crashes).To(Equal([]Crash{{Runner: "1", Parts: []Part{bad}, Sharing: []uint8{1}, Doubtful: true}}))
		lists("2", 13)
		Expect(crashed(13)).To(Equal([]string{"1"}))
		e.RecordAlive(at(14), exchange("2", 12.9, 14))
		Expect(crashed(14)).To(Equal([]string{"1"}))
	})

	// Guards against two crashes that count as one because the list does not show the
	// process between them yet.
	ginkgo.It("has crashed twice if a request is lost on a newer connection and the list shows a new process", func() {
		e.RecordLoss(at(10), exchange("1", 1, 9), []Part{bad})
		e.RecordLoss(at(11), exchange("1", 10.5, 10.6), []Part{bad})
		Expect(crashed(11)).To(Equal([]string{"1"}))
		lists("2", 11)
		Expect(crashed(12)).To(Equal([]string{"1", "2"}))
		e.RecordLoss(at(14), exchange("2", 12, 13), []Part{bad})
		lists("3", 14)
		Expect(crashed(15)).To(Equal([]string{"1", "2", "3"}))
	})

	// Guards against a runner whose connections break and that counts as crashed.
	ginkgo.It("has not crashed if it answers on a connection that is older than the loss", func() {
		e.RecordLoss(at(10), exchange("1", 1, 9), []Part{bad})
		e.RecordAlive(at(11), exchange("1", 9, 9.5))
		Expect(crashed(11)).To(Equal([]string{"1"}), "the answer was sent before the loss")
		e.RecordAlive(at(11), exchange("1", 9, 10.5))
		Expect(crashed(11)).To(BeEmpty())
	})

	ginkgo.It("has not crashed if the list shows the same process as of its answer on a new connection", func() {
		e.RecordLoss(at(10), exchange("1", 1, 9), []Part{bad})
		lists("1", 20)
		Expect(crashed(20)).To(Equal([]string{"1"}), "a process that has ended stays listed until the next one runs")
		e.RecordAlive(at(21), exchange("1", 20.9, 21))
		e.RecordAlive(at(22), exchange("1", 20.9, 22))
		lists("1", 20.5)
		Expect(crashed(21.5)).To(BeEmpty(), "in doubt")
		e.RecordLoss(at(22), exchange("1", 21.5, 22), []Part{bad})
		Expect(crashed(22)).To(Equal([]string{"1"}), "one in doubt and one not, in one process")
		lists("1", 21)
		Expect(crashed(22)).To(Equal([]string{"1"}), "the later loss")
		e.RecordAlive(at(23), exchange("1", 22.5, 22.6))
		lists("1", 23)
		Expect(crashed(30)).To(BeEmpty())
		Expect(e.lost).To(BeEmpty())
	})

	ginkgo.It("counts as crashed if the list does not tell within its time", func() {
		e.RecordLoss(at(10), exchange("1", 1, 9), []Part{bad})
		e.RecordAlive(at(11), exchange("1", 10.9, 11))
		Expect(crashed(11)).To(BeEmpty())
		lists("1", -1000)
		Expect(crashed(11 + testDoubt.Seconds())).To(Equal([]string{"1"}))
	})

	ginkgo.It("has crashed if it is listed no more", func() {
		e.RecordLoss(at(10), exchange("1", 1, 9), []Part{bad})
		e.RecordLoss(at(11), exchange("1", 10.5, 9), []Part{bad})
		e.RecordAlive(at(12), exchange("1", 11.5, 12))
		e.RecordListed(start, Runners{"r": {}})
		Expect(crashed(12)).To(Equal([]string{"1"}))
		Expect(e.UnsettledRunners()).To(BeEmpty())
	})

	ginkgo.It("takes no more room the more of its connections break", func() {
		e.RecordLoss(at(1), Exchange{Runner: "other", Process: "other"}, []Part{bad})
		for i := range 3 * maxCrashes {
			now := float64(2 + i)
			e.RecordLoss(at(now/10), exchange("1", now/10-0.05, now/10), []Part{bad})
		}
		Expect(crashed(10)).To(Equal([]string{"other", "1"}))
	})
})
