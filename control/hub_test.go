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
	simTerm   = 3 * time.Second
	simExpiry = 5 * time.Second
)

// versionView is a tree of which only the version matters.
type versionView uint64

func (v versionView) Version() uint64                        { return uint64(v) }
func (v versionView) Since(uint64) ([]settings.Change, bool) { return nil, true }
func (v versionView) Encode() ([]byte, error)                { return nil, nil }

// event happens at a simulated time.
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

// simControl is one control VM: the real hub and a simulated replica.
type simControl struct {
	hub  *hub
	view view
	cut  bool // from the other control VMs
}

// simEntry is one entry VM.
type simEntry struct {
	session  ids.SessionID
	version  uint64
	leaseEnd time.Time
	ended    bool
	at       int // index of its control VM
}

// hubSim runs hubs, entry VMs and a simulated leader election in simulated
// time.
type hubSim struct {
	t        *rapid.T
	rand     *rand.Rand
	now      time.Time
	queue    events
	controls []*simControl
	entries  []*simEntry
	leader   int
	accepted []time.Time // acceptance time of version i+1
	open     map[ids.SessionID]bool
	expiring map[ids.SessionID]bool // proposed, not yet committed
	quiet    bool                   // no faults any more
}

func newHubSim(t *rapid.T, seed uint64) *hubSim {
	s := &hubSim{t: t, rand: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), open: map[ids.SessionID]bool{}, expiring: map[ids.SessionID]bool{}}
	for i := range 3 {
		vm := ids.VMID(fmt.Sprint("c", i))
		c := &simControl{hub: newHub(vm, string(vm), simTerm, simExpiry)}
		c.view.settings = versionView(0)
		s.controls = append(s.controls, c)
	}
	s.elect(0)
	for i := range 4 {
		e := &simEntry{session: ids.SessionID{VM: ids.VMID(fmt.Sprint("e", i)), Incarnation: 1}, at: s.rand.IntN(3)}
		s.open[e.session] = true
		s.entries = append(s.entries, e)
		s.renewLater(e)
	}
	for i := range s.controls {
		s.reportLater(i)
	}
	s.after(0, s.round)
	return s
}

func (s *hubSim) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{at: s.now.Add(d), do: do})
}

func (s *hubSim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
		s.check()
	}
	s.now = end
}

// delay is the time of one message, at times very long.
func (s *hubSim) delay() time.Duration {
	if !s.quiet && s.rand.IntN(12) == 0 {
		return time.Duration(s.rand.IntN(2500)) * time.Millisecond
	}
	return time.Duration(1+s.rand.IntN(80)) * time.Millisecond
}

func (s *hubSim) lost() bool { return !s.quiet && s.rand.IntN(15) == 0 }

// elect makes c the leader. The old one keeps its last proof and does not know.
// Of the old one's uncommitted commands, those that c holds are applied before
// it leads, and the others are lost.
func (s *hubSim) elect(c int) {
	s.leader = c
	for _, e := range s.entries {
		if s.expiring[e.session] && s.rand.IntN(2) == 0 {
			s.applyExpiry(e.session)
		}
	}
	clear(s.expiring)
	v := &s.controls[c].view
	v.role, v.settings = raft.Leader, versionView(len(s.accepted))
	v.proof, v.leaderSince = s.now, s.now
}

// round is a heartbeat round of the leader and the followers' application.
func (s *hubSim) round() {
	for i, c := range s.controls {
		if i == s.leader {
			if !c.cut {
				c.view.proof = s.now.Add(-min(s.now.Sub(c.view.proof), time.Duration(s.rand.IntN(150))*time.Millisecond))
				c.view.settings = versionView(len(s.accepted))
			}
			s.expire(c)
			continue
		}
		if c.view.role == raft.Leader && s.rand.IntN(20) == 0 {
			c.view.role, c.view.proof = raft.Follower, time.Time{}
		}
		applied := int(c.view.settings.Version())
		if c.view.role != raft.Leader && !c.cut && applied < len(s.accepted) && s.rand.IntN(3) == 0 {
			c.view.settings = versionView(applied + 1 + s.rand.IntN(len(s.accepted)-applied))
		}
	}
	s.after(100*time.Millisecond, s.round)
}

func (s *hubSim) expire(c *simControl) {
	list := c.hub.expire(s.now, &c.view, s.open)
	slices.SortFunc(list, func(a, b ids.SessionID) int { return cmp.Compare(a.VM, b.VM) })
	for _, id := range list {
		s.expiring[id] = true
		s.after(s.delay(), func() { s.applyExpiry(id) })
	}
}

// applyExpiry applies an ExpireSession, unless an election has decided it.
func (s *hubSim) applyExpiry(id ids.SessionID) {
	if !s.expiring[id] {
		return
	}
	delete(s.expiring, id)
	for _, e := range s.entries {
		if e.session == id && e.leaseEnd.After(s.now) {
			s.t.Fatalf("session %s expired %v before its lease", id, e.leaseEnd.Sub(s.now))
		}
		if e.session == id {
			e.ended = true
		}
	}
	delete(s.open, id)
}

func (s *hubSim) reportLater(i int) {
	s.after(250*time.Millisecond, func() { s.report(i, nil); s.reportLater(i) })
}

// report sends a report of control VM i to whom it takes for the leader and
// calls then when the answer is there.
func (s *hubSim) report(i int, then func()) {
	c := s.controls[i]
	sent, rep := s.now, c.hub.report(s.now, &c.view)
	to := s.leader
	if c.view.role == raft.Leader {
		to = i
	}
	l := s.controls[to]
	if to != i && (c.cut || l.cut || s.lost()) {
		return
	}
	way := func() time.Duration {
		if to == i {
			return 0
		}
		return s.delay()
	}
	s.after(way(), func() {
		reply := l.hub.takeReport(s.now, &l.view, rep, s.open)
		s.after(way(), func() {
			if reply.OK {
				c.hub.takeReply(s.now, sent, rep, reply)
			}
			if then != nil {
				then()
			}
		})
	})
}

func (s *hubSim) renewLater(e *simEntry) {
	s.after(time.Duration(300+s.rand.IntN(400))*time.Millisecond, func() {
		if s.quiet || s.rand.IntN(10) > 0 {
			s.renew(e)
		}
		if s.rand.IntN(8) == 0 {
			e.at = s.rand.IntN(len(s.controls))
		}
		s.renewLater(e)
	})
}

// renew does what Server.renew and an entry VM's subscriber do.
func (s *hubSim) renew(e *simEntry) {
	if e.ended || s.lost() {
		return
	}
	sent, at := s.now, e.at
	r := &wire.Renew{Session: e.session, InForce: e.version}
	s.after(s.delay(), func() {
		c := s.controls[at]
		answer := func() {
			reply := c.hub.renewReply(s.now, &c.view, r)
			version := c.view.settings.Version()
			if !reply.OK || version < r.InForce || s.lost() {
				return
			}
			s.after(s.delay(), func() { e.take(sent, reply, version) })
		}
		if mustTell, _ := c.hub.note(s.now, r); mustTell {
			s.report(at, answer)
			return
		}
		answer()
	})
}

func (e *simEntry) take(sent time.Time, reply *wire.RenewReply, version uint64) {
	if version < e.version {
		return
	}
	e.version = version
	end := sent.Add(-time.Duration(reply.AgeMS) * time.Millisecond).Add(time.Duration(reply.TermMS) * time.Millisecond)
	if end.After(e.leaseEnd) {
		e.leaseEnd = end
	}
}

// check verifies what must hold at every time.
func (s *hubSim) check() {
	for _, e := range s.entries {
		if !e.leaseEnd.After(s.now) {
			continue
		}
		if e.ended {
			s.t.Fatalf("%s holds a lease after its session has ended", e.session)
		}
		for _, c := range s.controls {
			if c.hub.inEffect > e.version {
				s.t.Fatalf("%s says that %d is in effect; %s serves %d for another %v", c.hub.self, c.hub.inEffect, e.session, e.version, e.leaseEnd.Sub(s.now))
			}
		}
		if next := int(e.version); next < len(s.accepted) && s.now.Sub(s.accepted[next]) > simTerm {
			s.t.Fatalf("%s serves %d, and %d was accepted %v ago", e.session, e.version, next+1, s.now.Sub(s.accepted[next]))
		}
	}
}

// fault changes something: an election, a cut, a silent entry VM or a change
// of the settings.
func (s *hubSim) fault() {
	switch s.rand.IntN(5) {
	case 0:
		for _, c := range s.controls {
			c.cut = false
		}
	case 1:
		s.controls[s.rand.IntN(3)].cut = true
	case 2:
		if c := s.rand.IntN(3); !s.controls[c].cut && c != s.leader {
			s.elect(c)
		}
	default:
		if !s.controls[s.leader].cut {
			s.accepted = append(s.accepted, s.now)
			s.controls[s.leader].view.settings = versionView(len(s.accepted))
		}
	}
}

// TestLeases guards against a version that is declared in effect while an entry
// VM still serves an older one, a lease that outlives the staleness bound, and
// a session that expires under a valid lease.
func TestLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newHubSim(t, rapid.Uint64().Draw(t, "seed"))
		s.quiet = true
		s.run(simTerm)
		if len(s.open) != len(s.entries) {
			t.Fatalf("a session expired before its first renewal")
		}
		s.quiet = false
		for range rapid.IntRange(20, 80).Draw(t, "faults") {
			s.run(time.Duration(s.rand.IntN(1500)) * time.Millisecond)
			s.fault()
		}
		s.quiet = true
		for i, c := range s.controls {
			c.cut = false
			if i != s.leader {
				c.view.role, c.view.proof = raft.Follower, time.Time{}
			}
		}
		s.run(4 * simTerm)
		for _, c := range s.controls {
			if int(c.hub.inEffect) != len(s.accepted) {
				t.Fatalf("%s says that %d is in effect, accepted was %d", c.hub.self, c.hub.inEffect, len(s.accepted))
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
