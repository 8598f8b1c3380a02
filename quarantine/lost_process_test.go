package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = ginkgo.Describe("a runner that is lost", func() {
	const bad Part = 1
	var e *Evidence
	ginkgo.BeforeEach(func() { e = NewEvidence(testDoubt) })
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	// exchange is one with the runner r, at a time at which the list shows a process of
	// it, on a connection of some age.
	exchange := func(process string, connected, sent float64) Exchange {
		return Exchange{Runner: "r", Process: process, ConnectedAt: at(connected), SentAt: at(sent)}
	}
	lists := func(process string, asOf float64) { e.RecordListed(Runners{"r": {Process: process, AsOf: at(asOf)}}) }
	crashed := func(now float64) []string {
		var processes []string
		for _, c := range e.Report(at(now), nil).Crashes {
			Expect(c.Parts).To(Equal([]Part{bad}))
			processes = append(processes, c.Runner)
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
		e.RecordListed(Runners{"r": {}})
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

const (
	modelStep = 100 * time.Millisecond
	// modelLag is that of the platform's list; modelReading is the time between two
	// readings of it.
	modelLag     = 800 * time.Millisecond
	modelReading = 1200 * time.Millisecond
	modelDoubt   = modelLag + 2*time.Second
	// modelContact is the time in which the quarantine has to be known everywhere.
	modelContact = 4 * time.Second
	// mostLate is how many requests with a bad part may reach runners after that.
	mostLate = 3
)

// modelRunner is a runner that restarts under its ID.
type modelRunner struct {
	name    string
	process int
	// backAt is when the next process starts, zero while one runs.
	backAt time.Time
	// startedAt holds when each process started.
	startedAt []time.Time
}

func (r *modelRunner) processName(n int) string { return fmt.Sprint(r.name, " ", n) }

// shownAt returns the process that the platform's list showed at a time.
func (r *modelRunner) shownAt(t time.Time) int {
	for n := len(r.startedAt) - 1; n > 0; n-- {
		if !r.startedAt[n].After(t.Add(-modelLag)) {
			return n
		}
	}
	return 0
}

// modelConn is a connection that a VM keeps to a runner.
type modelConn struct {
	openedAt time.Time
	process  int
}

// modelVM is an entry VM.
type modelVM struct {
	evidence *Evidence
	known    Known
	conns    map[string]modelConn
	// retryAt is when a runner is tried again after a failure.
	retryAt map[string]time.Time
}

// crashModel plays requests with a bad part among sound ones.
type crashModel struct {
	now      time.Time
	readAt   time.Time
	runners  []*modelRunner
	vms      []*modelVM
	detector *Detector
	crashes  []time.Time
	reached  []time.Time
}

const (
	modelBad    Part = 1
	modelShared Part = 2
)

func newCrashModel(runners, vms int) *crashModel {
	m := &crashModel{now: start, readAt: start, detector: NewDetector(start, nil)}
	for n := range runners {
		m.runners = append(m.runners, &modelRunner{name: fmt.Sprint("r", n), startedAt: []time.Time{start.Add(-time.Hour)}})
	}
	for range vms {
		m.vms = append(m.vms, &modelVM{evidence: NewEvidence(modelDoubt), known: Known{}, conns: map[string]modelConn{}, retryAt: map[string]time.Time{}})
	}
	return m
}

// advance lets one step pass: runners start, the list is read, and the VMs and the
// detector exchange what they know.
func (m *crashModel) advance(step int) {
	m.now = m.now.Add(modelStep)
	for _, r := range m.runners {
		if !r.backAt.IsZero() && !m.now.Before(r.backAt) {
			r.process, r.backAt = r.process+1, time.Time{}
			r.startedAt = append(r.startedAt, m.now)
		}
	}
	if m.now.Sub(m.readAt) >= modelReading {
		m.readAt = m.now
	}
	if step%5 == 0 {
		m.exchange()
	}
}

func (m *crashModel) exchange() {
	var reports []*Report
	var names []string
	for i, v := range m.vms {
		unsettled := v.evidence.UnsettledRunners()
		for _, r := range m.runners {
			if _, asked := unsettled[r.name]; asked {
				unsettled[r.name] = Listed{Process: r.processName(r.shownAt(m.readAt)), AsOf: m.readAt.Add(-modelLag)}
			}
		}
		v.evidence.RecordListed(unsettled)
		reports = append(reports, v.evidence.Report(m.now, v.known))
		names = append(names, fmt.Sprint(i))
	}
	m.detector.Update(m.now, reports, names)
	for _, v := range m.vms {
		v.known = NewKnown(m.detector.Quarantined())
	}
}

// send sends a request with the bad part, or a sound one, from a VM to a runner.
// breaks breaks its connection.
func (m *crashModel) send(vm int, r *modelRunner, isBad, breaks bool) {
	v := m.vms[vm]
	parts := []Part{modelShared}
	if isBad {
		parts = append(parts, modelBad)
	}
	if m.now.Before(v.retryAt[r.name]) || !v.maySend(m.now, vm, parts) {
		return
	}
	conn, kept := v.conns[r.name]
	if r.backAt.IsZero() && (!kept || conn.process != r.process) {
		conn = modelConn{openedAt: m.now, process: r.process}
	}
	x := Exchange{Runner: r.name, Process: r.processName(r.shownAt(m.readAt)), ConnectedAt: conn.openedAt, SentAt: m.now}
	delete(v.conns, r.name)
	switch {
	case !r.backAt.IsZero():
		v.retryAt[r.name] = m.now.Add(500 * time.Millisecond)
	case isBad:
		m.reached = append(m.reached, m.now)
		m.crashes = append(m.crashes, m.now)
		v.evidence.RecordLoss(m.now.Add(time.Millisecond), x, parts)
		v.retryAt[r.name] = m.now.Add(500 * time.Millisecond)
	case breaks:
		v.evidence.RecordLoss(m.now.Add(time.Millisecond), x, parts)
		v.retryAt[r.name] = m.now.Add(500 * time.Millisecond)
	default:
		v.conns[r.name] = conn
		v.evidence.RecordAlive(m.now.Add(time.Millisecond), x)
		v.evidence.RecordAnswer(m.now.Add(time.Millisecond), parts)
	}
}

func (v *modelVM) maySend(now time.Time, vm int, parts []Part) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool {
		q, quarantined := v.known[p]
		return quarantined && !v.evidence.HasAnswer(now, p) && !(q.Trial.VM == fmt.Sprint(vm) && v.evidence.ClaimTrial(p, q.Trial.Number))
	})
}

// late returns how many requests with the bad part have reached runners later than
// modelContact after the fifth crash.
func (m *crashModel) late() int {
	if len(m.crashes) < 5 {
		return 0
	}
	return len(m.reached) - len(slices.DeleteFunc(slices.Clone(m.reached), func(t time.Time) bool { return t.Sub(m.crashes[4]) > modelContact }))
}

// Guards against a bad part that goes on to crash runners which restart under their
// IDs, whenever that is and whichever VMs reach them before the list shows it, and
// against losses that count as crashes though only connections broke.
func TestCrashesOfRunnersThatRestartUnderTheirIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCrashModel(rapid.IntRange(2, 5).Draw(t, "runners"), rapid.IntRange(1, 3).Draw(t, "vms"))
		badEvery := rapid.IntRange(3, 50).Draw(t, "bad every steps")
		soundShare := rapid.IntRange(10, 100).Draw(t, "sound requests in a hundred")
		breakShare := rapid.SampledFrom([]int{0, 0, 10, 50}).Draw(t, "broken in a hundred")
		hasBad := rapid.Bool().Draw(t, "bad")
		down := func() time.Duration {
			return modelStep * time.Duration(rapid.IntRange(3, 40).Draw(t, "steps down"))
		}
		percent := rapid.IntRange(0, 99)
		for step := range 600 {
			m.advance(step)
			for vm := range m.vms {
				r := rapid.SampledFrom(m.runners).Draw(t, "runner")
				if percent.Draw(t, "sound") < soundShare {
					m.send(vm, r, false, step < 500 && percent.Draw(t, "breaks") < breakShare)
				}
			}
			if hasBad && step%badEvery == badEvery-1 {
				r := rapid.SampledFrom(m.runners).Draw(t, "runner of the bad request")
				before := len(m.crashes)
				m.send(rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm of the bad request"), r, true, false)
				if len(m.crashes) > before {
					r.backAt = m.now.Add(down())
				}
			}
		}
		if late := m.late(); late > mostLate {
			t.Fatalf("%d requests with the bad part were sent later than %v after the fifth of %d crashes", late, modelContact, len(m.crashes))
		}
		if hasBad {
			return
		}
		for vm, v := range m.vms {
			if r := v.evidence.Report(m.now, v.known); len(r.Crashes) > 0 && soundShare == 100 {
				t.Fatalf("VM %d reports crashes of processes that go on: %v", vm, r.Crashes)
			}
		}
	})
}
