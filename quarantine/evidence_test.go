package quarantine

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// testDoubt is the time within which the list decides in these tests.
const testDoubt = 3 * time.Second

// on names an exchange with a runner that has one process only, on a connection that
// was opened at start.
func on(runner string) Exchange {
	return Exchange{Runner: runner, Process: runner, ConnectedAt: start, SentAt: start}
}

// at is a time in seconds after start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// exchange is one with the runner r at a time at which the list shows a process of it.
// It was sent, and its connection was opened, at times in seconds after start.
func exchange(process string, connected, sent float64) Exchange {
	return Exchange{Runner: "r", Process: process, ConnectedAt: at(connected), SentAt: at(sent)}
}

// list records that the list shows a process of the runner r, as of a time in seconds
// after start.
func list(e *Evidence, process string, asOf float64) {
	e.RecordListed(start, Runners{"r": {Process: process, AsOf: at(asOf)}})
}

// partsFrom returns n parts from first on.
func partsFrom(first, n int) []Part {
	parts := make([]Part, n)
	for i := range parts {
		parts[i] = Part(first + i)
	}
	return parts
}

func countParts(crashes []Crash) int {
	n := 0
	for _, c := range crashes {
		n += len(c.Parts)
	}
	return n
}

var _ = ginkgo.Describe("the evidence of an entry VM", func() {
	const bad, shared Part = 1, 2

	ginkgo.It("joins the requests that one start of a runner has lost, without parts that were answered", func() {
		e := NewEvidence(testDoubt)
		e.RecordAnswer(start, []Part{shared})
		e.RecordLoss(start, on("r1"), []Part{shared, bad})
		e.RecordLoss(start, on("r1"), []Part{3})
		e.RecordLoss(start, on("r2"), []Part{shared})
		Expect(e.Report(start, nil)).To(Equal(&Report{Crashes: []Crash{{Runner: "r1", Parts: []Part{bad, 3}, Sharing: []uint8{1, 1}}}}))
		e.RecordAnswer(start, []Part{3})
		Expect(e.Report(start, nil).Crashes[0].Parts).To(Equal([]Part{bad}))
	})

	// Guards against a bad part that finds no place among the parts of the many
	// requests that were lost with it.
	ginkgo.It("has room for the part without answers when many requests are lost with a runner", func() {
		e := NewEvidence(testDoubt)
		for i := range maxReportedParts + 1 {
			e.RecordAnswer(start, []Part{Part(100 + i)})
			e.RecordLoss(start, on("r1"), []Part{Part(100 + i)})
		}
		Expect(e.Report(start, nil).IsEmpty()).To(BeTrue())
		e.RecordLoss(start, on("r1"), []Part{bad})
		Expect(e.Report(start, nil).Crashes).To(Equal([]Crash{{Runner: "r1", Parts: []Part{bad}, Sharing: []uint8{1}}}))
	})

	// Guards against a bad part that is not reported because it stands behind many others
	// of its prompt.
	ginkgo.It("reports a part wherever it stands in a long prompt", func() {
		e := NewEvidence(testDoubt)
		prompt := append(partsFrom(1000, maxReportedParts-1), bad)
		e.RecordLoss(start, on("r1"), prompt)
		Expect(e.Report(start, nil).Crashes).To(Equal([]Crash{{Runner: "r1", Parts: slices.Sorted(slices.Values(prompt)), Sharing: slices.Repeat([]uint8{1}, len(prompt))}}))
		e.RecordAnswer(start, prompt[:len(prompt)-1])
		Expect(e.Report(start, nil).Crashes).To(Equal([]Crash{{Runner: "r1", Parts: []Part{bad}, Sharing: []uint8{1}}}))
	})

	ginkgo.It("reports the parts of most crashes if there are too many", func() {
		e := NewEvidence(testDoubt)
		const last Part = 1 << 60
		for n := range 3 {
			e.RecordLoss(start, on(fmt.Sprint("r", n)), append(partsFrom(10_000*n+1000, 2*maxReportedParts), last))
		}
		crashes := e.Report(start, nil).Crashes
		Expect(crashes).To(HaveLen(3))
		for _, c := range crashes {
			Expect(c.Parts).To(ContainElement(last))
		}
		Expect(countParts(crashes)).To(BeNumerically("<=", maxReportedParts))
		other := NewEvidence(testDoubt)
		other.RecordLoss(start, on("r9"), append(partsFrom(1000, 2*maxReportedParts), last))
		Expect(other.Report(start, nil).Crashes[0].Parts).To(Equal(partsFrom(1000, maxReportedParts)), "the same parts at every VM")
	})

	// Guards against a runner that breaks off answers and is taken for one that ended.
	ginkgo.It("withdraws a loss when the same start of the runner answers a later request", func() {
		e := NewEvidence(testDoubt)
		sentAt := start.Add(time.Second)
		alive := func(runner string, sentAt time.Time) {
			x := on(runner)
			x.SentAt = sentAt
			e.RecordAlive(sentAt, x)
		}
		e.RecordLoss(sentAt, on("r1"), []Part{bad})
		alive("r1", start)
		alive("r1", sentAt)
		alive("r2", sentAt.Add(time.Second))
		Expect(e.Report(sentAt, nil).Crashes).To(HaveLen(1))
		e.RecordLoss(sentAt.Add(2*time.Second), on("r1"), []Part{3})
		alive("r1", sentAt.Add(time.Second))
		Expect(e.Report(sentAt, nil).Crashes).To(HaveLen(1))
		alive("r1", sentAt.Add(3*time.Second))
		Expect(e.Report(sentAt, nil).Crashes).To(BeEmpty())
		Expect(e.Report(sentAt, nil).IsEmpty()).To(BeTrue(), "nothing is quarantined")
		Expect(e.Report(sentAt, Known{bad: {}}).Withdrawn).To(Equal([]string{"r1"}))
		e.RecordLoss(sentAt.Add(4*time.Second), on("r1"), []Part{bad})
		Expect(e.Report(sentAt, Known{bad: {}}).Withdrawn).To(BeEmpty(), "it is lost again")
		alive("r1", sentAt.Add(5*time.Second))
		Expect(e.Report(sentAt.Add(5*time.Second+withdrawalTime+1), Known{bad: {}}).Withdrawn).To(BeEmpty())
	})

	ginkgo.It("forgets crashes and answers after the window", func() {
		e := NewEvidence(testDoubt)
		e.RecordLoss(start, on("r1"), []Part{bad})
		e.RecordAnswer(start, []Part{shared})
		later := start.Add(evidenceWindow + time.Second)
		Expect(e.Report(later, nil).IsEmpty()).To(BeTrue())
		Expect(e.HasAnswer(start.Add(evidenceWindow), shared)).To(BeTrue())
		Expect(e.HasAnswer(later, shared)).To(BeFalse())
	})

	// Guards against a part that is quarantined and freed in turn.
	ginkgo.It("contests the quarantine of a part that was answered, as long as the answer counts", func() {
		e := NewEvidence(testDoubt)
		e.RecordAnswer(start, []Part{shared})
		report := e.Report(start, NewKnown([]Quarantined{{Part: bad, Failed: 2, Trial: Trial{VM: "a", Number: 3}}, {Part: shared}}))
		Expect(report.Answered).To(Equal([]Part{shared}))
		Expect(report.Quarantined).To(Equal([]Quarantined{{Part: bad, Failed: 2}, {Part: shared}}))
		Expect(e.Report(start.Add(time.Second), nil).Answered).To(Equal([]Part{shared}))
		Expect(e.Report(start.Add(evidenceWindow+time.Second), Known{shared: {}}).Answered).To(BeEmpty())
	})

	ginkgo.It("lets one request claim each trial of a part", func() {
		e := NewEvidence(testDoubt)
		Expect(e.ClaimTrial(bad, 1)).To(BeTrue())
		Expect(e.ClaimTrial(bad, 1)).To(BeFalse())
		Expect(e.ClaimTrial(bad, 2)).To(BeTrue())
		e.Report(start, Known{bad: {}})
		Expect(e.ClaimTrial(bad, 2)).To(BeFalse())
		e.Report(start, nil)
		Expect(e.claimed).To(BeEmpty())
	})

	ginkgo.It("stays bounded", func() {
		e := NewEvidence(testDoubt)
		for i := range 3 * maxAnswered {
			e.RecordAnswer(start, []Part{Part(i)})
			e.RecordLoss(start, on(fmt.Sprint("r", i)), []Part{Part(i), Part(-i)})
			e.RecordLoss(start, on("last"), []Part{Part(1_000_000 + i)})
		}
		Expect(len(e.answered.newer) + len(e.answered.older)).To(BeNumerically("<=", maxAnswered+1))
		report := e.Report(start.Add(time.Second), nil)
		Expect(len(report.Crashes)).To(BeNumerically("<=", maxCrashes))
		Expect(countParts(report.Crashes)).To(BeNumerically("<=", maxReportedParts))
		lost := 0
		for _, l := range e.lost {
			lost += len(l.parts)
		}
		Expect(lost).To(BeNumerically("<=", maxLostParts+2))
	})

	// Guards against answers that are all forgotten when there are many.
	ginkgo.It("remembers the latest answers when there are too many", func() {
		e := NewEvidence(testDoubt)
		e.RecordAnswer(start, partsFrom(0, 3*maxAnswered))
		Expect(e.HasAnswer(start, Part(3*maxAnswered-1))).To(BeTrue())
		Expect(e.HasAnswer(start, Part(3*maxAnswered-maxAnswered/2))).To(BeTrue())
		Expect(e.HasAnswer(start, 0)).To(BeFalse())
	})

	ginkgo.It("makes equal reports of equal content", func() {
		Expect((*Report)(nil).Equal(&Report{})).To(BeTrue())
		a, b := &Report{Crashes: []Crash{crash(1, bad)}}, &Report{Crashes: []Crash{crash(1, bad)}}
		Expect(a.Equal(b)).To(BeTrue())
		Expect(a.Equal(nil)).To(BeFalse())
		b.Crashes[0].Parts = []Part{shared}
		Expect(a.Equal(b)).To(BeFalse())
		Expect(a.Equal(&Report{Crashes: a.Crashes, Answered: []Part{bad}})).To(BeFalse())
		Expect(a.Equal(&Report{Crashes: a.Crashes, Quarantined: []Quarantined{{Part: bad}}})).To(BeFalse())
		Expect((&Report{Quarantined: []Quarantined{{Part: bad}}}).IsEmpty()).To(BeFalse())
	})
})
