package control

import (
	"time"

	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/wire"
)

// softState holds a control VM's state that is not replicated: its subscribers,
// its leader confirmations, the recent observations of upstreams and, on the
// leader, the registry of all sessions. It does no I/O and is not safe for
// concurrent use.
type softState struct {
	self          ids.VMID
	addr          string
	leaseTerm     time.Duration // of the settings lease
	sessionExpiry time.Duration // of sessions without a renewal
	subscribers   *subscribers
	observations  *observationCache
	drains        drainRequests
	confirmations confirmationTracker
	inEffect      uint64
	registry      *registry // for the term in which this VM last led
}

// observationTTL covers two renewals (every 500 ms) of each subscriber, so that
// the loss of one reply loses no observation.
const observationTTL = 1500 * time.Millisecond

func newSoftState(self ids.VMID, addr string, term, expiry time.Duration) *softState {
	return &softState{
		self: self, addr: addr, leaseTerm: term, sessionExpiry: expiry,
		subscribers:  newSubscribers(term, expiry),
		observations: newObservationCache(observationTTL),
		drains:       drainRequests{},
	}
}

// recordRenewal records a renewal. mustReport is true if the session has to be
// reported to the leader before its lease is extended, and newObservation if
// the renewal contained a new observation.
func (st *softState) recordRenewal(now time.Time, r *wire.Renew) (mustReport, newObservation bool) {
	_, mustReport = st.subscribers.recordRenewal(now, r)
	return mustReport, st.observations.add(now, r.Observations, true)
}

// renewReply returns the parts of the reply that do not depend on the settings
// tree.
func (st *softState) renewReply(now time.Time, v *view, r *wire.Renew) *wire.RenewReply {
	sub, mustReport := st.subscribers.recordRenewal(now, r)
	if sub.ended {
		return &wire.RenewReply{SessionEnded: true}
	}
	confirmed := st.confirmedAt(v)
	reply := &wire.RenewReply{AgeMS: ageMS(now, confirmed), TermMS: uint32(st.leaseTerm.Milliseconds())}
	// A confirmation older than half a lease term is not passed on, so that the
	// entry VM looks for a more recent one before its lease expires.
	reply.OK = !confirmed.IsZero() && !mustReport && now.Sub(confirmed) < st.leaseTerm/2
	self := r.Session.VM
	reply.Observations = st.observations.list(now, func(o *cachedObservation) bool { return o.observation.From != self })
	_, reply.Drain = st.drains[r.Session]
	return reply
}

// confirmedAt returns the time of this VM's newest confirmation, or the zero
// time if there is none.
func (st *softState) confirmedAt(v *view) time.Time {
	if !v.confirmedAt.IsZero() {
		st.confirmations.add(confirmation{roundStart: v.confirmedAt, versions: v.versions()})
	}
	return st.confirmations.latest(v.versions())
}

// buildReport returns the report to the leader.
func (st *softState) buildReport(now time.Time, v *view) *report {
	rep := &report{From: st.self, Addr: st.addr}
	rep.Lowest, rep.Sessions = st.subscribers.buildReport(now, v.settings.Version())
	rep.Observations = st.observations.list(now, func(o *cachedObservation) bool { return o.fromEntryVM })
	rep.Drains = st.drains.list(now)
	return rep
}

// applyReportReply records the leader's confirmation. Its age counts from
// before the report was sent, so that a slow reply never makes it look newer.
func (st *softState) applyReportReply(now, sent time.Time, rep *report, reply *reportReply) {
	at := sent.Add(-time.Duration(reply.AgeMS) * time.Millisecond)
	st.confirmations.add(confirmation{roundStart: at, versions: appliedVersions{settings: reply.Version, document: reply.Document, evacuations: reply.Evacuations}})
	st.inEffect = max(st.inEffect, reply.InEffect)
	st.subscribers.markReported(sent, rep.Sessions, reply.Ended)
	st.observations.add(now, reply.Observations, false)
	st.drains.add(now, reply.Drains)
}

// handleReport answers a report on the leader. open contains the open sessions.
func (st *softState) handleReport(now time.Time, v *view, rep *report, open map[ids.SessionID]bool) *reportReply {
	if v.confirmedAt.IsZero() {
		return &reportReply{}
	}
	g := st.currentRegistry(v)
	reply := &reportReply{OK: true, AgeMS: ageMS(now, v.confirmedAt), Version: v.settings.Version(), Document: v.documentVersion(), Evacuations: evacuation.VersionOf(v.evacuations)}
	reply.Ended = g.recordReport(now, rep, open)
	reply.InEffect = g.versionInEffect(now)
	st.inEffect = max(st.inEffect, reply.InEffect)
	st.observations.add(now, rep.Observations, false)
	st.drains.add(now, rep.Drains)
	reply.Drains = st.drains.list(now)
	reply.Observations = st.observations.list(now, func(o *cachedObservation) bool { return o.observation.From != "" })
	return reply
}

// markExpired returns the open sessions that the leader has to end.
func (st *softState) markExpired(now time.Time, v *view, open map[ids.SessionID]bool) []ids.SessionID {
	if v.confirmedAt.IsZero() {
		return nil
	}
	return st.currentRegistry(v).markExpired(now, open)
}

// currentRegistry returns the registry of the leader's current term.
func (st *softState) currentRegistry(v *view) *registry {
	if st.registry == nil || !st.registry.leaderSince.Equal(v.leaderSince) {
		st.registry = newRegistry(st.leaseTerm, st.sessionExpiry, v.leaderSince)
		st.registry.inEffect = st.inEffect
	}
	return st.registry
}
