package quarantine

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// testVMs are entry VMs and the detector that joins what they observe.
type testVMs struct {
	now      time.Time
	names    []string
	evidence map[string]*Evidence
	detector *Detector
	known    Known
	changes  []Change
}

func newTestVMs(names ...string) *testVMs {
	s := &testVMs{now: start, names: names, evidence: map[string]*Evidence{}, detector: NewDetector(start, nil), known: Known{}}
	for _, name := range names {
		s.evidence[name] = NewEvidence(testDoubt)
	}
	return s
}

// pass lets a second pass, in which the VMs and the detector exchange what they
// know.
func (s *testVMs) pass() {
	s.now = s.now.Add(time.Second)
	var reports []*Report
	for _, name := range s.names {
		reports = append(reports, s.evidence[name].Report(s.now, s.known))
	}
	s.changes = append(s.changes, s.detector.Update(s.now, reports, s.names)...)
	s.known = NewKnown(s.detector.Quarantined())
}

// sends reports whether a VM sends a request with the part.
func (s *testVMs) sends(vm string, p Part) bool {
	q, quarantined := s.known[p]
	if !quarantined || s.evidence[vm].HasAnswer(s.now, p) {
		return true
	}
	return q.Trial.VM == vm && s.evidence[vm].ClaimTrial(p, q.Trial.Number)
}

// lose has every VM send requests with the part for some time and lose the runner
// with each. It returns how many were sent.
func (s *testVMs) lose(p Part, during time.Duration) (sent int) {
	for end := s.now.Add(during); s.now.Before(end); s.pass() {
		for _, vm := range s.names {
			if s.sends(vm, p) {
				sent++
				s.evidence[vm].RecordLoss(s.now, on(fmt.Sprint(vm, s.now)), []Part{p})
			}
		}
	}
	return sent
}

var _ = ginkgo.Describe("a quarantined part", func() {
	const part Part = 1

	// Guards against sound parts that stay away from runners for minutes after an
	// outage that hit every request.
	ginkgo.It("is free soon after an outage in which all requests failed", func() {
		s := newTestVMs("a", "b", "c")
		s.lose(part, 90*time.Second)
		Expect(s.known).To(HaveKey(part))
		for back := s.now; len(s.known) > 0; s.pass() {
			Expect(s.now).To(BeTemporally("<", back.Add(2*time.Minute)))
			for _, vm := range s.names {
				if s.sends(vm, part) {
					s.evidence[vm].RecordAnswer(s.now, []Part{part})
				}
			}
		}
	})

	// Guards against trials that end one runner after the other.
	ginkgo.It("is tried with one request at a time, ever more seldom", func() {
		s := newTestVMs("a", "b", "c")
		Expect(s.lose(part, 5*time.Second)).To(BeNumerically("<=", minCrashes))
		var tried []time.Duration
		for range 3600 {
			if s.lose(part, time.Second) > 0 {
				tried = append(tried, s.now.Sub(start))
				Expect(s.known[part].Trial.VM).To(BeEmpty())
			}
		}
		Expect(tried).To(HaveLen(8))
		wait := firstTrialWait
		for i, at := range tried[1:] {
			wait = min(trialWaitFactor*wait, maxTrialWait)
			Expect(at-tried[i]).To(BeNumerically("~", wait, 2*time.Second), "trial %d", i)
		}
	})

	ginkgo.It("is another VM's turn to try when a VM gets no request", func() {
		s := newTestVMs("a", "b", "c")
		s.lose(part, 2*time.Second)
		turns := map[string]uint32{}
		for range int((firstTrialWait + 3*trialTurn) / time.Second) {
			s.pass()
			turns[s.known[part].Trial.VM] = s.known[part].Trial.Number
		}
		Expect(turns).To(HaveLen(4), "three VMs, and none at first")
		Expect(s.changes[len(s.changes)-1].Trial).To(Equal(s.known[part].Trial))
		Expect(s.known[part].Trial.Number).To(BeNumerically("<=", 4), "a turn lasts some seconds")
	})

	ginkgo.It("waits as long when two runners are lost at a trial as when one is", func() {
		s := newTestVMs("a")
		s.lose(part, minCrashes*time.Second)
		for s.lose(part, time.Second) == 0 {
		}
		s.evidence["a"].RecordLoss(s.now, on("late"), []Part{part})
		s.pass()
		Expect(s.lose(part, trialWaitFactor*firstTrialWait+2*time.Second)).To(Equal(1))
	})

	// Guards against a leader that begins to try a part as often as the first one did.
	ginkgo.It("keeps the wait for its next trial and their numbers under a new leader", func() {
		s := newTestVMs("a")
		s.lose(part, minCrashes*time.Second)
		s.lose(part, trialWaitFactor*firstTrialWait+2*firstTrialWait)
		tried := s.known[part]
		Expect(tried.Failed).To(Equal(uint32(2)))
		s.detector = NewDetector(s.now, s.detector.Quarantined())
		wait := trialWait(tried.Failed)
		Expect(s.lose(part, wait-2*time.Second)).To(BeZero())
		Expect(s.lose(part, 4*time.Second)).To(Equal(1))
		Expect(s.known[part].Trial.Number).To(BeNumerically(">", tried.Trial.Number))
	})

	ginkgo.It("keeps the wait for its next trial when only entry VMs know of it", func() {
		s := newTestVMs("a", "b")
		s.lose(part, 2*time.Second)
		s.lose(part, trialWaitFactor*firstTrialWait+2*firstTrialWait)
		failed := s.known[part].Failed
		Expect(failed).To(BeNumerically(">=", 2))
		s.detector = NewDetector(s.now, nil)
		s.known = Known{part: {Part: part, Failed: failed}}
		Expect(s.lose(part, trialWait(failed)-2*time.Second)).To(BeZero())
	})
})
