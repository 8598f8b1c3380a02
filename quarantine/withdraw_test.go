package quarantine

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a loss that is withdrawn", func() {
	const bad Part = 1
	lost := func(runners ...string) *Report {
		r := &Report{}
		for _, name := range runners {
			r.Crashes = append(r.Crashes, Crash{Runner: name, Parts: []Part{bad}})
		}
		return r
	}
	withdrawn := func(runners ...string) *Report { return &Report{Withdrawn: runners} }
	var d *Detector
	update := func(s float64, reports ...*Report) []Change { return d.Update(at(s), reports, []string{"a"}) }
	ginkgo.BeforeEach(func() {
		d = NewDetector(at(-60), nil)
		Expect(update(0, lost("r1", "r2", "r3"))).To(HaveLen(1))
	})

	// Guards against a service that stays refused because connections broke.
	ginkgo.It("ends the quarantine that was founded on it", func() {
		Expect(update(1, lost("r2", "r3"))).To(BeEmpty(), "not reported any more, but not withdrawn")
		Expect(update(2, lost("r2", "r3"), withdrawn("other"))).To(BeEmpty())
		Expect(update(3, lost("r2", "r3"), withdrawn("r1"))).To(Equal([]Change{{Part: bad}}))
		Expect(d.Quarantined()).To(BeEmpty())
	})

	ginkgo.It("counts if another VM has lost the process, or enough others are lost", func() {
		Expect(update(1, lost("r1", "r2", "r3"), withdrawn("r1"))).To(BeEmpty())
		Expect(update(2, lost("r1", "r2", "r3", "r4"), withdrawn("r1"))).To(BeEmpty())
		Expect(update(3, lost("r2", "r3", "r4"), withdrawn("r1"))).To(BeEmpty())
		Expect(d.Quarantined()).To(HaveLen(1))
	})

	ginkgo.It("does not end a quarantine that was taken over", func() {
		d = NewDetector(start, []Quarantined{{Part: bad}})
		update(1, lost("r1"))
		Expect(update(2, withdrawn("r1"))).To(BeEmpty())
		Expect(d.Quarantined()).To(HaveLen(1))
	})

	// Guards against a part that is refused for longer because the connection of its trial
	// broke.
	ginkgo.It("does not make the next trial wait", func() {
		due := firstTrialWait.Seconds()
		Expect(update(due, lost("r1", "r2", "r3"))[0].Trial.VM).To(Equal("a"))
		update(due+1, lost("r1", "r2", "r3", "r4"))
		Expect(d.Quarantined()[0].Failed).To(Equal(uint32(1)))
		Expect(update(due+2, lost("r1", "r2", "r3", "r4"))).To(BeEmpty(), "it failed")
		Expect(update(due+3, lost("r1", "r2", "r3"), withdrawn("r4"))[0].Trial).To(Equal(Trial{VM: "a", Number: 2}))
		Expect(d.Quarantined()[0].Failed).To(BeZero())
	})

	ginkgo.It("is one whose runner is asked for, if it does not answer", func() {
		e := NewEvidence(testDoubt)
		known := Known{bad: {}}
		x := Exchange{Runner: "r", Process: "r 1", ConnectedAt: start}
		e.RecordLoss(start, x, []Part{bad})
		Expect(e.RunnersToProbe(start, known)).To(BeEmpty(), "too early")
		later := start.Add(probeDelay)
		Expect(e.RunnersToProbe(later, known)).To(Equal([]string{"r"}))
		Expect(e.RunnersToProbe(later, Known{2: {}})).To(BeEmpty())
		e.RecordAlive(later, Exchange{Runner: "r", ConnectedAt: later, SentAt: later})
		Expect(e.RunnersToProbe(later, known)).To(BeEmpty(), "it has answered")
		e.RecordListed(later, Runners{"r": {Process: "r 1", AsOf: later}})
		Expect(e.Report(later, known).Withdrawn).To(Equal([]string{"r 1"}))

		e.RecordEnded(later, x, []Part{bad})
		Expect(e.RunnersToProbe(later, known)).To(BeEmpty(), "too early")
		Expect(e.RunnersToProbe(later.Add(probeDelay), known)).To(Equal([]string{"r"}))
	})
})
