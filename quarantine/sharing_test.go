package quarantine

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("parts that crashes do not tell apart", func() {
	const bad, shared, other Part = 1, 2, 3

	// Guards against a whole service that is refused because its common part was in flight
	// wherever the bad one crashed a runner.
	ginkgo.It("are refused in the order of the requests that have them, the fewest first", func() {
		reports := []*Report{
			{Crashes: []Crash{{Runner: "r1", Parts: []Part{bad, shared}, Sharing: []uint8{2, 3}}, {Runner: "r2", Parts: []Part{bad, shared}, Sharing: []uint8{2, 3}}}},
			{Crashes: []Crash{{Runner: "r3", Parts: []Part{bad, shared}, Sharing: []uint8{1, 3}}}},
		}
		d := NewDetector(start, nil)
		Expect(d.Update(start, reports, nil)).To(Equal([]Change{{Part: bad, Quarantined: true, Crashes: 3}}))
		Expect(d.Update(start, reports, nil)).To(BeEmpty(), "the bad part explains the crashes")
	})

	ginkgo.It("are all refused if as many requests have them, or a VM of an earlier release does not tell", func() {
		for _, sharing := range [][]uint8{{3, 3}, nil} {
			var reports []*Report
			for _, runner := range []string{"r1", "r2", "r3"} {
				reports = append(reports, &Report{Crashes: []Crash{{Runner: runner, Parts: []Part{bad, shared}, Sharing: sharing}}})
			}
			d := NewDetector(start, nil)
			d.Update(start, reports, nil)
			Expect(d.sortedParts()).To(Equal([]Part{bad, shared}))
		}
	})

	ginkgo.It("do not come before one with more crashes", func() {
		var reports []*Report
		for _, runner := range []string{"r1", "r2", "r3", "r4"} {
			reports = append(reports, &Report{Crashes: []Crash{{Runner: runner, Parts: []Part{shared}, Sharing: []uint8{9}}}})
		}
		for _, r := range reports[:3] {
			r.Crashes[0].Parts, r.Crashes[0].Sharing = []Part{bad, shared}, []uint8{1, 9}
		}
		d := NewDetector(start, nil)
		d.Update(start, reports, nil)
		Expect(d.sortedParts()).To(Equal([]Part{shared}))
	})

	ginkgo.It("have the requests of the last minute counted, whatever became of them", func() {
		e := NewEvidence(testDoubt)
		sharing := func(now time.Time) []uint8 {
			e.RecordLoss(now, Exchange{Runner: "r", Process: "r", ConnectedAt: start}, []Part{bad, other})
			return e.Report(now, nil).Crashes[0].Sharing
		}
		Expect(sharing(start)).To(Equal([]uint8{1, 1}))
		e.RecordLoss(start, on("r"), []Part{bad})
		e.RecordEnded(start, on("r"), []Part{bad})
		Expect(sharing(start)).To(Equal([]uint8{3, 2}))
		e.RecordAnswer(start, []Part{shared, other})
		Expect(e.sharing.magnitude(shared)).To(Equal(uint8(1)))
		later := start.Add(evidenceWindow + 1)
		Expect(sharing(later)).To(Equal([]uint8{3, 3}), "those of the window before too")
		later = later.Add(evidenceWindow + 1)
		Expect(sharing(later)).To(Equal([]uint8{2, 2}))
		for i := range 3 * maxAnswered {
			e.RecordAnswer(later, []Part{Part(i)})
		}
		Expect(len(e.sharing.newer) + len(e.sharing.older)).To(BeNumerically("<=", maxAnswered+1))
	})

	ginkgo.It("make no news by being in more requests", func() {
		a := &Report{Crashes: []Crash{{Runner: "r", Parts: []Part{bad}, Sharing: []uint8{1}}}}
		b := &Report{Crashes: []Crash{{Runner: "r", Parts: []Part{bad}, Sharing: []uint8{2}}}}
		Expect(a.Equal(b)).To(BeTrue())
	})
})
