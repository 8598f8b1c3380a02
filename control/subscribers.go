package control

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/wire"
)

// subscriber is one entry VM's session as this control VM knows it.
type subscriber struct {
	session  ids.SessionID
	region   ids.Region
	inForce  uint64
	draining bool
	renewed  time.Time
	// told is the renewal that the leader knows of; zero if none.
	told time.Time
	// ended is set once the leader says that the session is not open.
	ended bool
}

// subscribers are the entry VMs that renew at this control VM. It is pure and
// not safe for concurrent use.
type subscribers struct {
	term time.Duration // of the settings lease
	// tellWithin is the greatest age of the renewal that the leader knows of
	// at which a lease is still granted without asking it. A lease granted at
	// now ends at now+term at the latest, and the leader expires the session
	// no earlier than told+expiry; so told must not lie further back than
	// expiry-term.
	tellWithin time.Duration
	bySession  map[ids.SessionID]*subscriber
}

// leaseMargin allows for clocks that run at different rates.
const leaseMargin = 100 * time.Millisecond

func newSubscribers(term, expiry time.Duration) *subscribers {
	return &subscribers{term: term, tellWithin: expiry - term - leaseMargin, bySession: map[ids.SessionID]*subscriber{}}
}

// renew takes a renewal and says whether the leader must hear of the session
// before the lease may be extended.
func (t *subscribers) renew(now time.Time, r *wire.Renew) (s *subscriber, mustTell bool) {
	s = t.bySession[r.Session]
	if s == nil {
		s = &subscriber{session: r.Session}
		t.bySession[r.Session] = s
	}
	s.region, s.inForce, s.draining, s.renewed = r.Region, r.InForce, r.Draining, now
	return s, now.Sub(s.told) > t.tellWithin
}

// report lists the subscribers whose lease may be valid and forgets the
// others. Lowest is the lowest version in effect under a lease from here;
// newest is what a new subscriber would get.
func (t *subscribers) report(now time.Time, newest uint64) (lowest uint64, list []sessionReport) {
	lowest = newest
	for id, s := range t.bySession {
		if now.Sub(s.renewed) > t.term {
			delete(t.bySession, id)
			continue
		}
		lowest = min(lowest, s.inForce)
		list = append(list, sessionReport{
			Session: id, AgeMS: ageMS(now, s.renewed), InForce: s.inForce, Region: s.region, Draining: s.draining,
		})
	}
	return lowest, list
}

// reported notes that the leader knows of the renewals up to at, except of the
// sessions that have ended.
func (t *subscribers) reported(at time.Time, list []sessionReport, ended []ids.SessionID) {
	for i := range list {
		if s := t.bySession[list[i].Session]; s != nil {
			s.told = at.Add(-time.Duration(list[i].AgeMS) * time.Millisecond)
		}
	}
	for _, id := range ended {
		if s := t.bySession[id]; s != nil {
			s.ended = true
		}
	}
}
