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
	// reportedRenewal is the time of the newest renewal that the leader knows
	// of; zero if none.
	reportedRenewal time.Time
	// ended is set once the leader has answered that the session is not open.
	ended bool
}

// subscribers tracks the entry VMs that renew at this control VM. It does no
// I/O and is not safe for concurrent use.
type subscribers struct {
	leaseTerm time.Duration // of the settings lease
	// maxReportedAge is the greatest age of reportedRenewal at which a lease is
	// granted without asking the leader first. A lease granted at time now ends
	// at now+leaseTerm at the latest, and the leader expires the session at
	// reportedRenewal+expiry at the earliest; so reportedRenewal must not be
	// older than expiry-leaseTerm.
	maxReportedAge time.Duration
	bySession      map[ids.SessionID]*subscriber
}

// clockDriftMargin allows for clocks that run at different rates.
const clockDriftMargin = 100 * time.Millisecond

func newSubscribers(term, expiry time.Duration) *subscribers {
	return &subscribers{leaseTerm: term, maxReportedAge: expiry - term - clockDriftMargin, bySession: map[ids.SessionID]*subscriber{}}
}

// recordRenewal records a renewal and reports whether the session must be
// reported to the leader before the lease may be extended.
func (t *subscribers) recordRenewal(now time.Time, r *wire.Renew) (s *subscriber, mustReport bool) {
	s = t.bySession[r.Session]
	if s == nil {
		s = &subscriber{session: r.Session}
		t.bySession[r.Session] = s
	}
	s.region, s.inForce, s.draining, s.renewed = r.Region, r.SettingsVersion, r.Draining, now
	return s, now.Sub(s.reportedRenewal) > t.maxReportedAge
}

// buildReport returns the subscribers whose leases may be valid and drops the
// others. lowest is the lowest version in use under a lease granted here;
// newest is the version that a new subscriber would get.
func (t *subscribers) buildReport(now time.Time, newest uint64) (lowest uint64, list []sessionReport) {
	lowest = newest
	for id, s := range t.bySession {
		if now.Sub(s.renewed) > t.leaseTerm {
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

// markReported records that the leader knows of the listed renewals as of time
// at, and that the given sessions have ended.
func (t *subscribers) markReported(at time.Time, list []sessionReport, ended []ids.SessionID) {
	for i := range list {
		if s := t.bySession[list[i].Session]; s != nil {
			s.reportedRenewal = at.Add(-time.Duration(list[i].AgeMS) * time.Millisecond)
		}
	}
	for _, id := range ended {
		if s := t.bySession[id]; s != nil {
			s.ended = true
		}
	}
}
