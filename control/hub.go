package control

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/wire"
)

// hub holds what a control VM knows besides the replicated state: its
// subscribers, its proof of being current, signs of upstreams and, on the
// leader, the registry of all sessions. It is pure and not safe for concurrent
// use.
type hub struct {
	self        ids.VMID
	addr        string
	term        time.Duration // of the settings lease
	expiry      time.Duration // of sessions without a renewal
	subscribers *subscribers
	signs       *signBoard
	drains      drainBoard
	proofs      proofs
	inEffect    uint64
	registry    *registry // of the term in which this VM led last
}

// signsFor covers two renewals (500 ms) of every subscriber, so that one lost
// reply loses no sign.
const signsFor = 1500 * time.Millisecond

func newHub(self ids.VMID, addr string, term, expiry time.Duration) *hub {
	return &hub{
		self: self, addr: addr, term: term, expiry: expiry,
		subscribers: newSubscribers(term, expiry),
		signs:       newSignBoard(signsFor),
		drains:      drainBoard{},
	}
}

// note takes a renewal. mustTell says that the leader must hear of the session
// before its lease is extended, fresh that the renewal brought a new sign.
func (h *hub) note(now time.Time, r *wire.Renew) (mustTell, fresh bool) {
	_, mustTell = h.subscribers.renew(now, r)
	return mustTell, h.signs.add(now, r.Signs, true)
}

// renewReply gives the part of the reply that does not depend on the tree.
func (h *hub) renewReply(now time.Time, v *view, r *wire.Renew) *wire.RenewReply {
	sub, mustTell := h.subscribers.renew(now, r)
	if sub.ended {
		return &wire.RenewReply{SessionEnded: true}
	}
	at := h.proofAt(v)
	reply := &wire.RenewReply{AgeMS: ageMS(now, at), TermMS: uint32(h.term.Milliseconds())}
	// A proof older than half a term is not passed on, so that the entry VM
	// looks for a better one while its lease still lasts.
	reply.OK = !at.IsZero() && !mustTell && now.Sub(at) < h.term/2
	self := r.Session.VM
	reply.Signs = h.signs.list(now, func(s *heldSign) bool { return s.sign.From != self })
	_, reply.Drain = h.drains[r.Session]
	return reply
}

// proofAt gives the time of this VM's newest proof, zero if there is none.
func (h *hub) proofAt(v *view) time.Time {
	if !v.proof.IsZero() {
		h.proofs.add(proof{at: v.proof, state: v.state()})
	}
	return h.proofs.at(v.state())
}

// report gives the report to the leader.
func (h *hub) report(now time.Time, v *view) *report {
	rep := &report{From: h.self, Addr: h.addr}
	rep.Lowest, rep.Sessions = h.subscribers.report(now, v.settings.Version())
	rep.Signs = h.signs.list(now, func(s *heldSign) bool { return s.local })
	rep.Drains = h.drains.list(now)
	return rep
}

// takeReply takes the leader's proof. Its age is counted from before the
// report was sent, so that a slow reply never makes it look newer.
func (h *hub) takeReply(now, sent time.Time, rep *report, reply *reportReply) {
	at := sent.Add(-time.Duration(reply.AgeMS) * time.Millisecond)
	h.proofs.add(proof{at: at, state: applied{settings: reply.Version, document: reply.Document}})
	h.inEffect = max(h.inEffect, reply.InEffect)
	h.subscribers.reported(sent, rep.Sessions, reply.Ended)
	h.signs.add(now, reply.Signs, false)
	h.drains.add(now, reply.Drains)
}

// takeReport answers a report on the leader. Open holds the open sessions.
func (h *hub) takeReport(now time.Time, v *view, rep *report, open map[ids.SessionID]bool) *reportReply {
	if v.proof.IsZero() {
		return &reportReply{}
	}
	g := h.registryOf(v)
	reply := &reportReply{OK: true, AgeMS: ageMS(now, v.proof), Version: v.settings.Version(), Document: v.documentVersion()}
	reply.Ended = g.take(now, rep, open)
	reply.InEffect = g.effective(now)
	h.inEffect = max(h.inEffect, reply.InEffect)
	h.signs.add(now, rep.Signs, false)
	h.drains.add(now, rep.Drains)
	reply.Drains = h.drains.list(now)
	reply.Signs = h.signs.list(now, func(s *heldSign) bool { return s.sign.From != "" })
	return reply
}

// expire gives the open sessions that the leader has to end.
func (h *hub) expire(now time.Time, v *view, open map[ids.SessionID]bool) []ids.SessionID {
	if v.proof.IsZero() {
		return nil
	}
	return h.registryOf(v).expire(now, open)
}

// registryOf gives the registry of the leader's present term.
func (h *hub) registryOf(v *view) *registry {
	if h.registry == nil || !h.registry.since.Equal(v.leaderSince) {
		h.registry = newRegistry(h.term, h.expiry, v.leaderSince)
		h.registry.inEffect = h.inEffect
	}
	return h.registry
}
