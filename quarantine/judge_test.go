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

var _ = ginkgo.Describe("a judge", func() {
	const bad, beside, other Part = 1, 2, 3

	ginkgo.It("quarantines a part once three runners were lost with it, whichever entry VMs saw them", func() {
		j := NewJudge(start, nil)
		reports := []*Report{{Crashes: []Crash{crash(1, bad), crash(2, bad)}}, {Crashes: []Crash{crash(2, bad)}}}
		Expect(j.Decide(start, reports)).To(BeEmpty())
		reports = append(reports, &Report{Crashes: []Crash{crash(3, bad)}})
		Expect(j.Decide(start, reports)).To(Equal([]Verdict{{Part: bad, Quarantined: true, Crashes: 3}}))
		Expect(j.Decide(start, reports)).To(BeEmpty())
	})

	// Guards against a quarantine of all parts that were in flight at lost runners.
	ginkgo.It("leaves parts free whose crashes a quarantined part explains", func() {
		j := NewJudge(start, nil)
		reports := []*Report{
			{Crashes: []Crash{crash(1, bad, beside), crash(2, bad, beside), crash(3, bad, beside), crash(4, bad)}},
			{Crashes: []Crash{crash(1, other), crash(2, other), crash(4, other)}},
		}
		j.Decide(start, reports)
		Expect(j.Quarantined()).To(Equal([]Part{bad}))
		reports[0].Crashes = append(reports[0].Crashes, crash(5, bad, beside))
		Expect(j.Decide(start, reports)).To(BeEmpty())
	})

	ginkgo.It("frees a part with which an entry VM has had an answer, and does not quarantine it again meanwhile", func() {
		j := NewJudge(start, nil)
		crashes := &Report{Crashes: []Crash{crash(1, bad), crash(2, bad), crash(3, bad)}}
		j.Decide(start, []*Report{crashes})
		disputed := &Report{Sound: []Part{bad}}
		Expect(j.Decide(start, []*Report{crashes, disputed})).To(Equal([]Verdict{{Part: bad}}))
		Expect(j.Decide(start, []*Report{crashes, disputed})).To(BeEmpty())
	})

	// Guards against a quarantine that is lost with all control VMs.
	ginkgo.It("adopts at first what is quarantined at entry VMs, unless that is disputed", func() {
		j := NewJudge(start, nil)
		known := &Report{Quarantined: []Part{bad, other}}
		j.Decide(start, []*Report{known, {Sound: []Part{other}}})
		Expect(j.Quarantined()).To(Equal([]Part{bad}))
		j.Decide(start.Add(adoptionTime), []*Report{known})
		Expect(j.Quarantined()).To(Equal([]Part{bad}))
	})

	ginkgo.It("ends a quarantine after its time, and continues that of a judge before it", func() {
		j := NewJudge(start, []Part{bad})
		Expect(j.Decide(start.Add(quarantineTime), nil)).To(BeEmpty())
		Expect(j.Quarantined()).To(Equal([]Part{bad}))
		Expect(j.Decide(start.Add(quarantineTime+time.Second), nil)).To(Equal([]Verdict{{Part: bad}}))
		Expect(j.Quarantined()).To(BeEmpty())
	})
})
