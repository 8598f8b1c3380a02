package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	modelStep = 100 * time.Millisecond
	// modelSteps is the length of a history. Connections break until breakSteps.
	modelSteps = 700
	breakSteps = 300
	// modelLag is that of the platform's list; modelReading is the time between two
	// readings of it, modelDoubt what a VM is told to wait for it.
	modelLag     = 800 * time.Millisecond
	modelReading = 1200 * time.Millisecond
	modelDoubt   = modelLag + 2*time.Second
	// modelExchange is the time between two exchanges of the VMs and the detector.
	modelExchange = 500 * time.Millisecond
	modelBackoff  = 500 * time.Millisecond
	// modelContact is the time in which the quarantine has to be known everywhere.
	modelContact = 4 * time.Second
	// mostLate is how many requests with a bad part may reach runners after that.
	mostLate = 3
	// oneTrial is how long a part is refused until a trial of it has been decided: its
	// wait, the turns of the VMs, and the list.
	oneTrial = firstTrialWait + 2*trialTurn + modelDoubt + 4*modelExchange
)

const (
	modelBad    Part = 1
	modelShared Part = 2
	// modelKinds parts from firstKind on are those of some of the sound prompts each.
	firstKind  Part = 10
	modelKinds int  = 4
)

// modelConn is a connection that a VM keeps to a process.
type modelConn struct {
	openedAt time.Time
	process  modelProcess
}

// modelVM is an entry VM.
type modelVM struct {
	evidence *Evidence
	known    Known
	conns    map[*modelRunner]modelConn
	// retryAt is when a runner is tried again after a failure.
	retryAt map[*modelRunner]time.Time
	// refusedSince is since when all requests with a part are refused.
	refusedSince map[Part]time.Time
}

// modelRequest is a request in flight.
type modelRequest struct {
	vm     *modelVM
	runner *modelRunner
	conn   modelConn
	sentAt time.Time
	endsAt time.Time
	parts  []Part
	// breaks is true if its connection breaks at its end, unframed if its answer ends with
	// its connection.
	breaks, unframed bool
}

// modelOptions are what a history is made of.
type modelOptions struct {
	seed         uint64
	runners, vms int
	// bad is the time between two requests with the bad part in steps, 0 for none.
	bad int
	// crashesKeepID is the share of crashed runners that come back under their IDs,
	// breaking that of connections that break, unframed that of answers without an end
	// mark, abandoned that of callers that leave, all in a hundred.
	crashesKeepID, breaking, unframed, abandoned int
	// halves has each VM use half of the runners only.
	halves bool
}

// crashModel plays requests with a bad part among sound ones.
type crashModel struct {
	modelOptions
	t        *rapid.T
	rand     *rand.Rand
	now      time.Time
	readAt   time.Time
	runners  []*modelRunner
	vms      []*modelVM
	flying   []*modelRequest
	detector *Detector
	// crashes and reached are when runners crashed and requests with the bad part were
	// sent to one.
	crashes, reached []time.Time
	// sound holds the sound requests: when they were sent, and whether they began.
	sound []soundRequest
}

type soundRequest struct {
	at    time.Time
	began bool
}

func newCrashModel(t *rapid.T, o modelOptions) *crashModel {
	m := &crashModel{modelOptions: o, t: t, rand: rand.New(rand.NewPCG(o.seed, 1)), now: start, readAt: start, detector: NewDetector(start, nil)}
	for n := range o.runners {
		m.runners = append(m.runners, &modelRunner{processes: []modelProcess{{name: fmt.Sprint("r", n), startedAt: start.Add(-time.Hour)}}})
	}
	for range o.vms {
		m.vms = append(m.vms, &modelVM{
			evidence: NewEvidence(modelDoubt), known: Known{}, conns: map[*modelRunner]modelConn{},
			retryAt: map[*modelRunner]time.Time{}, refusedSince: map[Part]time.Time{},
		})
	}
	return m
}

func (m *crashModel) percent(share int) bool { return m.rand.IntN(100) < share }

func (m *crashModel) play() {
	for step := range modelSteps {
		m.now = m.now.Add(modelStep)
		for _, r := range m.runners {
			r.startIfDue(m.now)
		}
		if m.now.Sub(m.readAt) >= modelReading {
			m.readAt = m.now
		}
		m.endRequests()
		if step%int(modelExchange/modelStep) == 0 {
			m.exchange()
		}
		for vm := range m.vms {
			m.sendSound(vm, step < breakSteps && m.percent(m.breaking))
		}
		if m.bad > 0 && step > 50 && step%m.bad == 0 {
			m.sendBad(m.rand.IntN(len(m.vms)))
		}
	}
}

// exchange has the VMs learn of the list, and the detector of what they report.
func (m *crashModel) exchange() {
	var reports []*Report
	var names []string
	for i, v := range m.vms {
		unsettled := v.evidence.UnsettledRunners()
		for _, r := range m.runners {
			shown := r.shownAt(m.readAt)
			if _, asked := unsettled[shown.name]; asked {
				unsettled[shown.name] = Listed{Process: shown.processName(), AsOf: m.readAt.Add(-modelLag)}
			}
		}
		v.evidence.RecordListed(m.now, unsettled)
		reports = append(reports, v.evidence.Report(m.now, v.known))
		names = append(names, fmt.Sprint(i))
	}
	m.detector.Update(m.now, reports, names)
	for _, v := range m.vms {
		v.known = NewKnown(m.detector.Quarantined())
		m.probe(v)
	}
}

// probe opens connections to the runners that a VM asks whether they go on.
func (m *crashModel) probe(v *modelVM) {
	names := v.evidence.RunnersToProbe(m.now, v.known)
	for _, r := range m.runners {
		if slices.Contains(names, r.current().name) && r.isUp() {
			v.evidence.RecordAlive(m.now, Exchange{Runner: r.current().name, ConnectedAt: m.now, SentAt: m.now})
		}
	}
}

func (m *crashModel) prompt() []Part {
	return []Part{modelShared, firstKind + Part(m.rand.IntN(modelKinds))}
}

func (m *crashModel) sendSound(vm int, breaks bool) {
	began := m.send(vm, &modelRequest{vm: m.vms[vm], parts: m.prompt(), breaks: breaks})
	m.sound = append(m.sound, soundRequest{m.now, began})
}

func (m *crashModel) sendBad(vm int) {
	r := &modelRequest{vm: m.vms[vm], parts: append(m.prompt(), modelBad)}
	if !m.send(vm, r) {
		return
	}
	m.reached = append(m.reached, m.now)
}

// send sends a request to a runner that is up. It reports whether there was one and the
// request was not refused.
func (m *crashModel) send(vm int, q *modelRequest) bool {
	if !m.mayEnter(vm, q) {
		return false
	}
	for _, n := range m.rand.Perm(len(m.runners)) {
		r := m.runners[n]
		if m.halves && m.vms[vm] != m.vms[n%len(m.vms)] && len(m.runners) >= 2*len(m.vms) || m.now.Before(q.vm.retryAt[r]) {
			continue
		}
		shown := r.shownAt(m.readAt)
		if !r.isUp() || shown.name != r.current().name {
			q.vm.retryAt[r] = m.now.Add(modelBackoff)
			continue
		}
		conn, kept := q.vm.conns[r]
		if !kept || conn.process != *r.current() {
			conn = modelConn{openedAt: m.now, process: *r.current()}
		}
		delete(q.vm.conns, r)
		q.runner, q.conn, q.sentAt = r, conn, m.now
		q.unframed = m.percent(m.unframed)
		q.endsAt = m.now.Add(time.Duration(m.rand.IntN(8)) * modelStep)
		m.flying = append(m.flying, q)
		return true
	}
	return false
}

// mayEnter reports whether no part of a request is refused, and checks that a part
// without a crash is not refused for too long.
func (m *crashModel) mayEnter(vm int, q *modelRequest) bool {
	enters := true
	for _, p := range q.parts {
		quarantined, known := q.vm.known[p]
		refused := known && !q.vm.evidence.HasAnswer(m.now, p) &&
			!(quarantined.Trial.VM == fmt.Sprint(vm) && q.vm.evidence.ClaimTrial(p, quarantined.Trial.Number))
		switch since, was := q.vm.refusedSince[p]; {
		case !refused:
			delete(q.vm.refusedSince, p)
		case !was:
			q.vm.refusedSince[p] = m.now
		case p != modelBad && m.bad == 0 && m.now.Sub(since) > oneTrial:
			m.t.Fatalf("VM %d has refused the sound part %d for %v", vm, p, m.now.Sub(since))
		}
		enters = enters && !refused
	}
	return enters
}

// endRequests ends the requests that are due. One with the bad part ends its runner.
func (m *crashModel) endRequests() {
	due := slices.Clone(m.flying)
	for _, q := range due {
		if q.endsAt.After(m.now) || !slices.Contains(m.flying, q) {
			continue
		}
		m.flying = slices.DeleteFunc(m.flying, func(o *modelRequest) bool { return o == q })
		switch {
		case slices.Contains(q.parts, modelBad):
			m.crash(q)
		case m.percent(m.abandoned):
		case q.breaks:
			m.lose(q)
		default:
			m.answer(q)
		}
	}
}

func (q *modelRequest) exchange(m *crashModel) Exchange {
	shown := q.runner.shownAt(m.readAt)
	return Exchange{Runner: shown.name, Process: shown.processName(), ConnectedAt: q.conn.openedAt, SentAt: q.sentAt}
}

func (m *crashModel) lose(q *modelRequest) {
	q.vm.evidence.RecordLoss(m.now, q.exchange(m), q.parts)
	q.vm.retryAt[q.runner] = m.now.Add(modelBackoff)
}

func (m *crashModel) answer(q *modelRequest) {
	x := q.exchange(m)
	q.vm.evidence.RecordAlive(m.now, x)
	if q.unframed {
		q.vm.evidence.RecordEnded(m.now, x, q.parts)
		return
	}
	q.vm.evidence.RecordAnswer(m.now, q.parts)
	q.vm.conns[q.runner] = q.conn
}

// crash ends the runner of a request, and all that is in flight there. Answers without an
// end mark may end as if they were whole.
func (m *crashModel) crash(q *modelRequest) {
	r := q.runner
	if !r.isUp() || *r.current() != q.conn.process {
		return
	}
	m.crashes = append(m.crashes, m.now)
	m.lose(q)
	for _, o := range m.flying {
		switch {
		case o.runner != r:
		case slices.Contains(o.parts, modelBad) || !o.unframed || m.percent(50):
			m.lose(o)
		default:
			m.answer(o)
		}
	}
	m.flying = slices.DeleteFunc(m.flying, func(o *modelRequest) bool { return o.runner == r })
	r.backAt, r.keepsID = m.now.Add(time.Duration(3+m.rand.IntN(38))*modelStep), m.percent(m.crashesKeepID)
}

// late returns how many requests with the bad part have reached runners later than
// modelContact after the fifth crash.
func (m *crashModel) late() int {
	late := 0
	for _, at := range m.reached {
		if len(m.crashes) >= 5 && at.Sub(m.crashes[4]) > modelContact {
			late++
		}
	}
	return late
}

// begun returns how many of the sound requests sent between two times have begun.
func (m *crashModel) begun(from, to time.Time) (n, began int) {
	for _, s := range m.sound {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		n++
		if s.began {
			began++
		}
	}
	return n, began
}

// checkSound checks that sound requests go on at half of their former rate.
func (m *crashModel) checkSound() {
	if len(m.crashes) == 0 {
		return
	}
	before, beganBefore := m.begun(start, m.crashes[0])
	after, beganAfter := m.begun(m.crashes[min(len(m.crashes), 5)-1].Add(2*modelContact), m.now)
	if before >= 20 && after >= 20 && 2*beganAfter*before < beganBefore*after {
		m.t.Fatalf("%d of %d sound requests began before the first of %d crashes, %d of %d afterwards", beganBefore, before, len(m.crashes), beganAfter, after)
	}
}

// Guards against a bad part that goes on to crash runners, and against sound ones that
// are refused, whichever way runners come back, answers end and connections break, and
// whatever the VMs see of it.
func TestCrashesAreToldFromBrokenConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := func(name string, of ...int) int { return rapid.SampledFrom(of).Draw(t, name) }
		o := modelOptions{
			seed:    rapid.Uint64().Draw(t, "seed"),
			runners: rapid.IntRange(2, 8).Draw(t, "runners"), vms: rapid.IntRange(1, 3).Draw(t, "VMs"),
			bad:           share("bad every steps", 0, 3, 5, 10, 20, 50),
			crashesKeepID: share("restarts under the ID", 0, 50, 100), breaking: share("broken", 0, 0, 5, 50),
			unframed: share("unframed", 0, 50, 100), abandoned: share("abandoned", 0, 10),
			halves: rapid.Bool().Draw(t, "halves"),
		}
		m := newCrashModel(t, o)
		m.play()
		if late := m.late(); late > mostLate {
			t.Fatalf("%d requests with the bad part were sent later than %v after the fifth of %d crashes", late, modelContact, len(m.crashes))
		}
		m.checkSound()
	})
}
