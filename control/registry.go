package control

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// registry tracks the control VMs and their subscribers on the leader. It
// starts empty with each term. It does no I/O and is not safe for concurrent
// use.
type registry struct {
	leaseTerm     time.Duration // of the settings lease
	sessionExpiry time.Duration // of sessions without a renewal
	leaderSince   time.Time     // when the lease of this leader was first valid

	controlVMs map[ids.VMID]*controlVMState
	sessions   map[ids.SessionID]*sessionState
	inEffect   uint64
}

// controlVMState is what the leader knows of one control VM.
type controlVMState struct {
	lowestVersion uint64
	// lastConfirmed is when this leader last sent the VM a confirmation. Leases
	// granted on the strength of it expire within one lease term.
	lastConfirmed time.Time
}

// sessionState is the newest report of one session.
type sessionState struct {
	report  sessionReport
	renewed time.Time
	// expiring is set once an ExpireSession has been proposed. From then on
	// renewals do not keep the session open.
	expiring bool
}

func newRegistry(term, expiry time.Duration, since time.Time) *registry {
	return &registry{
		leaseTerm: term, sessionExpiry: expiry, leaderSince: since,
		controlVMs: map[ids.VMID]*controlVMState{}, sessions: map[ids.SessionID]*sessionState{},
	}
}

// recordReport records a report that is answered with a confirmation. It
// returns those of its sessions that are not open or are about to expire.
func (g *registry) recordReport(now time.Time, r *report, open map[ids.SessionID]bool) (ended []ids.SessionID) {
	g.controlVMs[r.From] = &controlVMState{lowestVersion: r.Lowest, lastConfirmed: now}
	for _, sr := range r.Sessions {
		s := g.sessionFor(sr.Session)
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

func (g *registry) sessionFor(id ids.SessionID) *sessionState {
	s := g.sessions[id]
	if s == nil {
		s = &sessionState{}
		g.sessions[id] = s
	}
	return s
}

// markExpired returns the open sessions that were not renewed in time and marks
// them as expiring. The time counts from the start of this leader's lease at
// the earliest, because a deposed leader may have granted leases until then
// that no report shows, and from the leader's first sight of a session.
func (g *registry) markExpired(now time.Time, open map[ids.SessionID]bool) []ids.SessionID {
	var list []ids.SessionID
	for id := range open {
		s := g.sessionFor(id)
		if s.renewed.IsZero() {
			s.renewed = now
		}
		if now.Sub(s.renewed) > g.sessionExpiry && now.Sub(g.leaderSince) > g.sessionExpiry {
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

// versionInEffect returns the newest version that is in effect on every entry
// VM: each has confirmed it or holds no lease. The result never decreases. For
// one lease term after its election a leader does not know which control VMs
// hold its predecessor's confirmations, so the result does not change.
func (g *registry) versionInEffect(now time.Time) uint64 {
	if now.Sub(g.leaderSince) <= g.leaseTerm || len(g.controlVMs) == 0 {
		return g.inEffect
	}
	lowest := ^uint64(0)
	for vm, r := range g.controlVMs {
		if now.Sub(r.lastConfirmed) > g.leaseTerm {
			delete(g.controlVMs, vm)
			continue
		}
		lowest = min(lowest, r.lowestVersion)
	}
	if lowest != ^uint64(0) {
		g.inEffect = max(g.inEffect, lowest)
	}
	return g.inEffect
}
