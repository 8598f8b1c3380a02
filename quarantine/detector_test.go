package quarantine

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1_700_000_000, 0)

func crash(n int, parts ...Part) Crash {
	return Crash{Runner: fmt.Sprint("r", n), Parts: parts}
}

var _ = ginkgo.Describe("a detector", func() {
	const bad, beside, other Part = 1, 2, 3

	ginkgo.It("quarantines a part once three runners were lost with it, whichever entry VMs saw them", func() {
		d := NewDetector(start, nil)
		reports := []*Report{{Crashes: []Crash{crash(1, bad), crash(2, bad)}}, {Crashes: []Crash{crash(2, bad)}}}
		Expect(d.Update(start, reports, nil)).To(BeEmpty())
		reports = append(reports, &Report{Crashes: []Crash{crash(3, bad)}})
		Expect(d.Update(start, reports, nil)).To(Equal([]Change{{Part: bad, Quarantined: true, Crashes: 3}}))
		Expect(d.Update(start, reports, nil)).To(BeEmpty())
	})

	// Guards against engines that are ended one after the other while the list does not
	// show yet that they have started again (soak seed 60000214).
	ginkgo.It("waits for no doubt once five runners may have been lost", func() {
		doubtful := func(n int) Crash {
			c := crash(n, bad)
			c.Doubtful = true
			return c
		}
		d := NewDetector(start, nil)
		reports := []*Report{{Crashes: []Crash{crash(1, bad, beside), crash(2, bad), doubtful(3), doubtful(4)}}}
		Expect(d.Update(start, reports, nil)).To(BeEmpty())
		reports = append(reports, &Report{Crashes: []Crash{doubtful(4)}})
		Expect(d.Update(start, reports, nil)).To(BeEmpty())
		reports = append(reports, &Report{Crashes: []Crash{doubtful(5)}})
		Expect(d.Update(start, reports, nil)).To(Equal([]Change{{Part: bad, Quarantined: true, Crashes: 5}}))
		Expect(d.Update(start, []*Report{{Crashes: reports[0].Crashes, Withdrawn: []string{"r5", "r4"}}}, nil)).To(BeEmpty(), "one of them is lost all the same")
		Expect(d.Update(start, []*Report{{Withdrawn: []string{"r3", "r4", "r5"}}}, nil)).To(Equal([]Change{{Part: bad}}))
	})

	ginkgo.It("takes the word of the VM without a doubt", func() {
		c := crash(3, bad)
		c.Doubtful = true
		d := NewDetector(start, nil)
		Expect(d.Update(start, []*Report{{Crashes: []Crash{crash(1, bad), crash(2, bad), c}}, {Crashes: []Crash{crash(3, bad)}}}, nil)).To(HaveLen(1))
	})

	// Guards against a quarantine of all parts that were in flight at lost runners.
	ginkgo.It("leaves parts free whose crashes a quarantined part explains", func() {
		d := NewDetector(start, nil)
		reports := []*Report{
			{Crashes: []Crash{crash(1, bad, beside), crash(2, bad, beside), crash(3, bad, beside), crash(4, bad)}},
			{Crashes: []Crash{crash(1, other), crash(2, other), crash(4, other)}},
		}
		d.Update(start, reports, nil)
		Expect(d.sortedParts()).To(Equal([]Part{bad}))
		reports[0].Crashes = append(reports[0].Crashes, crash(5, bad, beside))
		Expect(d.Update(start, reports, nil)).To(BeEmpty())
	})

	ginkgo.It("frees a part with which an entry VM has had an answer, and does not quarantine it again meanwhile", func() {
		d := NewDetector(start, nil)
		crashes := &Report{Crashes: []Crash{crash(1, bad), crash(2, bad), crash(3, bad)}}
		d.Update(start, []*Report{crashes}, nil)
		contested := &Report{Answered: []Part{bad}}
		Expect(d.Update(start, []*Report{crashes, contested}, nil)).To(Equal([]Change{{Part: bad}}))
		Expect(d.Update(start, []*Report{crashes, contested}, nil)).To(BeEmpty())
	})

	// Guards against a quarantine that is lost with all control VMs.
	ginkgo.It("adopts at first what is quarantined at entry VMs, unless that is contested", func() {
		d := NewDetector(start, nil)
		known := &Report{Quarantined: []Quarantined{{Part: bad}, {Part: other}}}
		d.Update(start, []*Report{known, {Answered: []Part{other}}}, nil)
		Expect(d.sortedParts()).To(Equal([]Part{bad}))
		d.Update(start.Add(adoptionTime), []*Report{known}, nil)
		Expect(d.sortedParts()).To(Equal([]Part{bad}))
	})

	ginkgo.It("ends a quarantine after its time, and continues that of a detector before it", func() {
		d := NewDetector(start, []Quarantined{{Part: bad}})
		Expect(d.Update(start.Add(quarantineTime), nil, nil)).To(BeEmpty())
		Expect(d.sortedParts()).To(Equal([]Part{bad}))
		Expect(d.Update(start.Add(quarantineTime+time.Second), nil, nil)).To(Equal([]Change{{Part: bad}}))
		Expect(d.Quarantined()).To(BeEmpty())
	})
})
