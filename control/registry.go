package control

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// registry is the leader's knowledge of the control VMs and their subscribers.
// It starts empty with each term. It is pure and not safe for concurrent use.
type registry struct {
	term   time.Duration // of the settings lease
	expiry time.Duration // of sessions without a renewal
	since  time.Time     // when the lease of this leader was first valid

	relays   map[ids.VMID]*relayState
	sessions map[ids.SessionID]*sessionState
	inEffect uint64
}

// relayState is one control VM.
type relayState struct {
	lowest uint64
	// answered is when this leader last gave the VM a proof. Leases that rest
	// on it have ended one term later.
	answered time.Time
}

// sessionState is one session.
type sessionState struct {
	report  sessionReport
	renewed time.Time
	// expiring is set once an ExpireSession is on its way. From then on no
	// renewal saves the session.
	expiring bool
}

func newRegistry(term, expiry time.Duration, since time.Time) *registry {
	return &registry{
		term: term, expiry: expiry, since: since,
		relays: map[ids.VMID]*relayState{}, sessions: map[ids.SessionID]*sessionState{},
	}
}

// take takes a report that is answered with a proof. It gives those of its
// sessions that are not open or about to expire.
func (g *registry) take(now time.Time, r *report, open map[ids.SessionID]bool) (ended []ids.SessionID) {
	g.relays[r.From] = &relayState{lowest: r.Lowest, answered: now}
	for _, sr := range r.Sessions {
		s := g.session(sr.Session)
		renewed := now.Add(-time.Duration(sr.AgeMS) * time.Millisecond)
		if !open[sr.Session] || s.expiring {
			ended = append(ended, sr.Session)
			continue
		}
		if renewed.After(s.renewed) {
			s.renewed, s.report = renewed, sr
		}
	}
	return ended
}

func (g *registry) session(id ids.SessionID) *sessionState {
	s := g.sessions[id]
	if s == nil {
		s = &sessionState{}
		g.sessions[id] = s
	}
	return s
}

// expire gives the open sessions that have not been renewed in time. The time
// starts at the earliest with this leader's own, since a deposed leader may
// have granted leases until then that no report shows, and with the first
// sight of a session.
func (g *registry) expire(now time.Time, open map[ids.SessionID]bool) []ids.SessionID {
	var list []ids.SessionID
	for id := range open {
		s := g.session(id)
		if s.renewed.IsZero() {
			s.renewed = now
		}
		if now.Sub(s.renewed) > g.expiry && now.Sub(g.since) > g.expiry {
			s.expiring = true
			list = append(list, id)
		}
	}
	for id := range g.sessions {
		if !open[id] {
			delete(g.sessions, id)
		}
	}
	return list
}

// effective gives the newest version that is in effect on every entry VM: each
// has confirmed it or holds no lease. It never goes back. For one term a new
// leader does not know whom its predecessor's proofs have reached.
func (g *registry) effective(now time.Time) uint64 {
	if now.Sub(g.since) <= g.term || len(g.relays) == 0 {
		return g.inEffect
	}
	lowest := ^uint64(0)
	for vm, r := range g.relays {
		if now.Sub(r.answered) > g.term {
			delete(g.relays, vm)
			continue
		}
		lowest = min(lowest, r.lowest)
	}
	if lowest != ^uint64(0) {
		g.inEffect = max(g.inEffect, lowest)
	}
	return g.inEffect
}

// applied names the state that a control VM has applied.
type applied struct {
	settings uint64
	document uint64
}

// covers says that a holds all that b does.
func (a applied) covers(b applied) bool {
	return a.settings >= b.settings && a.document >= b.document
}

// proof is what a control VM knows of the leader's commit index.
type proof struct {
	// at is the start of the leader's round. No settings or document newer
	// than state's were accepted before it.
	at    time.Time
	state applied
}

// proofs keeps the newest usable proof of a control VM. It is pure.
type proofs struct {
	current proof
	// ahead is newer than current and waits until this VM has applied its
	// state.
	ahead proof
}

// add takes a proof.
func (p *proofs) add(next proof) {
	if next.at.After(p.ahead.at) {
		p.ahead = next
	}
}

// at gives the time of the newest proof that covers the given applied state.
func (p *proofs) at(own applied) time.Time {
	if own.covers(p.ahead.state) && p.ahead.at.After(p.current.at) {
		p.current = p.ahead
	}
	return p.current.at
}

// drainBoard keeps the operators' requests to drain entry VMs for a while.
type drainBoard map[ids.SessionID]time.Time

// drainFor is how long a request to drain is repeated. It covers the longest
// time in which an entry VM moves to another control VM.
const drainFor = 30 * time.Second

func (d drainBoard) add(now time.Time, list []ids.SessionID) {
	for _, id := range list {
		if _, ok := d[id]; !ok {
			d[id] = now
		}
	}
}

func (d drainBoard) list(now time.Time) []ids.SessionID {
	var out []ids.SessionID
	for id, since := range d {
		if now.Sub(since) > drainFor {
			delete(d, id)
			continue
		}
		out = append(out, id)
	}
	return out
}
