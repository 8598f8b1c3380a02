package control

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/wire"
)

const (
	simLeaseTerm     = 3 * time.Second
	simSessionExpiry = 5 * time.Second
)

// versionView is a settings tree that consists of a version only.
type versionView uint64

func (v versionView) Version() uint64                        { return uint64(v) }
func (v versionView) Since(uint64) ([]settings.Change, bool) { return nil, true }
func (v versionView) Encode() ([]byte, error)                { return nil, nil }

// event is an action at a simulated time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simControl is one control VM: a real softState and a simulated replica.
type simControl struct {
	state    *softState
	view     view
	isolated bool // partitioned from the other control VMs
}

// simEntry is one entry VM.
type simEntry struct {
	session  ids.SessionID
	version  uint64
	leaseEnd time.Time
	ended    bool
	control  int // index of its control VM
}

// leaseSim runs the soft state of control VMs, entry VMs and a simulated leader
// election in simulated time.
type leaseSim struct {
	t         *rapid.T
	rand      *rand.Rand
	now       time.Time
	queue     events
	controls  []*simControl
	entries   []*simEntry
	leader    int
	accepted  []time.Time // acceptance time of version i+1
	open      map[ids.SessionID]bool
	expiring  map[ids.SessionID]bool // proposed, not yet committed
	faultFree bool                   // inject no more faults
}

func newLeaseSim(t *rapid.T, seed uint64) *leaseSim {
	s := &leaseSim{t: t, rand: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), open: map[ids.SessionID]bool{}, expiring: map[ids.SessionID]bool{}}
	for i := range 3 {
		vm := ids.VMID(fmt.Sprint("c", i))
		c := &simControl{state: newSoftState(vm, string(vm), simLeaseTerm, simSessionExpiry)}
		c.view.settings = versionView(0)
		s.controls = append(s.controls, c)
	}
	s.elect(0)
	for i := range 4 {
		e := &simEntry{session: ids.SessionID{VM: ids.VMID(fmt.Sprint("e", i)), Incarnation: 1}, control: s.rand.IntN(3)}
		s.open[e.session] = true
		s.entries = append(s.entries, e)
		s.renewLater(e)
	}
	for i := range s.controls {
		s.reportLater(i)
	}
	s.after(0, s.heartbeatRound)
	return s
}

func (s *leaseSim) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{at: s.now.Add(d), do: do})
}

func (s *leaseSim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
		s.checkInvariants()
	}
	s.now = end
}

// delay returns the delay of one message, occasionally a very long one.
func (s *leaseSim) delay() time.Duration {
	if !s.faultFree && s.rand.IntN(12) == 0 {
		return time.Duration(s.rand.IntN(2500)) * time.Millisecond
	}
	return time.Duration(1+s.rand.IntN(80)) * time.Millisecond
}

func (s *leaseSim) dropped() bool { return !s.faultFree && s.rand.IntN(15) == 0 }

// elect makes c the leader. The old leader keeps its last confirmation and does
// not learn of the election. Of its uncommitted commands, those that c holds
// are applied before c leads; the others are lost.
func (s *leaseSim) elect(c int) {
	s.leader = c
	for _, e := range s.entries {
		if s.expiring[e.session] && s.rand.IntN(2) == 0 {
			s.applyExpiry(e.session)
		}
	}
	clear(s.expiring)
	v := &s.controls[c].view
	v.role, v.settings = raft.Leader, versionView(len(s.accepted))
	v.confirmedAt, v.leaderSince = s.now, s.now
}

// heartbeatRound simulates a heartbeat round of the leader and the application
// of committed changes by the followers.
func (s *leaseSim) heartbeatRound() {
	for i, c := range s.controls {
		if i == s.leader {
			if !c.isolated {
				c.view.confirmedAt = s.now.Add(-min(s.now.Sub(c.view.confirmedAt), time.Duration(s.rand.IntN(150))*time.Millisecond))
				c.view.settings = versionView(len(s.accepted))
			}
			s.proposeExpiries(c)
			continue
		}
		if c.view.role == raft.Leader && s.rand.IntN(20) == 0 {
			c.view.role, c.view.confirmedAt = raft.Follower, time.Time{}
		}
		applied := int(c.view.settings.Version())
		if c.view.role != raft.Leader && !c.isolated && applied < len(s.accepted) && s.rand.IntN(3) == 0 {
			c.view.settings = versionView(applied + 1 + s.rand.IntN(len(s.accepted)-applied))
		}
	}
	s.after(100*time.Millisecond, s.heartbeatRound)
}

func (s *leaseSim) proposeExpiries(c *simControl) {
	list := c.state.markExpired(s.now, &c.view, s.open)
	slices.SortFunc(list, func(a, b ids.SessionID) int { return cmp.Compare(a.VM, b.VM) })
	for _, id := range list {
		s.expiring[id] = true
		s.after(s.delay(), func() { s.applyExpiry(id) })
	}
}

// applyExpiry applies an ExpireSession command unless an election has already
// applied or lost it.
func (s *leaseSim) applyExpiry(id ids.SessionID) {
	if !s.expiring[id] {
		return
	}
	delete(s.expiring, id)
	for _, e := range s.entries {
		if e.session == id && e.leaseEnd.After(s.now) {
			s.t.Fatalf("session %s was expired %v before its lease ended", id, e.leaseEnd.Sub(s.now))
		}
		if e.session == id {
			e.ended = true
		}
	}
	delete(s.open, id)
}

func (s *leaseSim) reportLater(i int) {
	s.after(250*time.Millisecond, func() { s.report(i, nil); s.reportLater(i) })
}

// report sends a report of control VM i to the VM that it considers the leader
// and calls then when the reply has arrived.
func (s *leaseSim) report(i int, then func()) {
	c := s.controls[i]
	sent, rep := s.now, c.state.buildReport(s.now, &c.view)
	to := s.leader
	if c.view.role == raft.Leader {
		to = i
	}
	leader := s.controls[to]
	if to != i && (c.isolated || leader.isolated || s.dropped()) {
		return
	}
	networkDelay := func() time.Duration {
		if to == i {
			return 0
		}
		return s.delay()
	}
	s.after(networkDelay(), func() {
		reply := leader.state.handleReport(s.now, &leader.view, rep, s.open)
		s.after(networkDelay(), func() {
			if reply.OK {
				c.state.applyReportReply(s.now, sent, rep, reply)
			}
			if then != nil {
				then()
			}
		})
	})
}

func (s *leaseSim) renewLater(e *simEntry) {
	s.after(time.Duration(300+s.rand.IntN(400))*time.Millisecond, func() {
		if s.faultFree || s.rand.IntN(10) > 0 {
			s.renew(e)
		}
		if s.rand.IntN(8) == 0 {
			e.control = s.rand.IntN(len(s.controls))
		}
		s.renewLater(e)
	})
}

// renew simulates Server.renew and an entry VM's subscriber.
func (s *leaseSim) renew(e *simEntry) {
	if e.ended || s.dropped() {
		return
	}
	sent, at := s.now, e.control
	r := &wire.Renew{Session: e.session, SettingsVersion: e.version}
	s.after(s.delay(), func() {
		c := s.controls[at]
		answer := func() {
			reply := c.state.renewReply(s.now, &c.view, r)
			version := c.view.settings.Version()
			if !reply.OK || version < r.SettingsVersion || s.dropped() {
				return
			}
			s.after(s.delay(), func() { e.applyReply(sent, reply, version) })
		}
		if mustReport, _ := c.state.recordRenewal(s.now, r); mustReport {
			s.report(at, answer)
			return
		}
		answer()
	})
}

func (e *simEntry) applyReply(sent time.Time, reply *wire.RenewReply, version uint64) {
	if version < e.version {
		return
	}
	e.version = version
	end := sent.Add(-time.Duration(reply.AgeMS) * time.Millisecond).Add(time.Duration(reply.TermMS) * time.Millisecond)
	if end.After(e.leaseEnd) {
		e.leaseEnd = end
	}
}

// checkInvariants verifies the properties that must hold at all times.
func (s *leaseSim) checkInvariants() {
	for _, e := range s.entries {
		if !e.leaseEnd.After(s.now) {
			continue
		}
		if e.ended {
			s.t.Fatalf("%s holds a lease after its session has ended", e.session)
		}
		for _, c := range s.controls {
			if c.state.inEffect > e.version {
				s.t.Fatalf("%s reports version %d in effect; %s serves %d for another %v", c.state.self, c.state.inEffect, e.session, e.version, e.leaseEnd.Sub(s.now))
			}
		}
		if next := int(e.version); next < len(s.accepted) && s.now.Sub(s.accepted[next]) > simLeaseTerm {
			s.t.Fatalf("%s serves version %d, but %d was accepted %v ago", e.session, e.version, next+1, s.now.Sub(s.accepted[next]))
		}
	}
}

// injectFault ends all partitions, isolates a control VM, elects another leader
// or accepts a settings change.
func (s *leaseSim) injectFault() {
	switch s.rand.IntN(5) {
	case 0:
		for _, c := range s.controls {
			c.isolated = false
		}
	case 1:
		s.controls[s.rand.IntN(3)].isolated = true
	case 2:
		if c := s.rand.IntN(3); !s.controls[c].isolated && c != s.leader {
			s.elect(c)
		}
	default:
		if !s.controls[s.leader].isolated {
			s.accepted = append(s.accepted, s.now)
			s.controls[s.leader].view.settings = versionView(len(s.accepted))
		}
	}
}

// TestLeases guards against declaring a version in effect while an entry VM
// still serves an older one, against a lease that outlives the staleness bound,
// and against the expiry of a session under a valid lease.
func TestLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLeaseSim(t, rapid.Uint64().Draw(t, "seed"))
		s.faultFree = true
		s.run(simLeaseTerm)
		if len(s.open) != len(s.entries) {
			t.Fatalf("a session expired before its first renewal")
		}
		s.faultFree = false
		for range rapid.IntRange(20, 80).Draw(t, "faults") {
			s.run(time.Duration(s.rand.IntN(1500)) * time.Millisecond)
			s.injectFault()
		}
		s.faultFree = true
		for i, c := range s.controls {
			c.isolated = false
			if i != s.leader {
				c.view.role, c.view.confirmedAt = raft.Follower, time.Time{}
			}
		}
		s.run(4 * simLeaseTerm)
		for _, c := range s.controls {
			if int(c.state.inEffect) != len(s.accepted) {
				t.Fatalf("%s reports version %d in effect, but %d was accepted", c.state.self, c.state.inEffect, len(s.accepted))
			}
		}
		late := ids.SessionID{VM: "late", Incarnation: 1}
		s.open[late] = true
		s.run(time.Second)
		if !s.open[late] {
			t.Fatalf("a session that was opened late expired before its first renewal")
		}
	})
}
