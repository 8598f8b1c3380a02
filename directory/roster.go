package directory

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/quarantine"
)

const (
	// rosterExpiry is how long an entry VM stays listed after it was last seen,
	// and a control VM's report after it was last confirmed. It tolerates the loss
	// of two watches and two exchanges between control VMs.
	rosterExpiry = 4 * time.Second
	// rosterInterval is how often a control VM looks for entry VMs that have
	// expired, and confirms the others.
	rosterInterval = 500 * time.Millisecond
	// rosterSpacing is the minimum time between two updates. After a power loss
	// all entry VMs report within a moment.
	rosterSpacing = 100 * time.Millisecond
	// reportRetention is how long the report of a control VM that is gone is kept.
	reportRetention = time.Minute
)

// roster holds entry VMs by address with the time at which each was last seen.
// It is not safe for concurrent use.
type roster struct {
	entries map[string]rosterEntry
}

type rosterEntry struct {
	vm     EntryVM
	report *quarantine.Report
	seenAt time.Time
}

func newRoster() *roster { return &roster{entries: map[string]rosterEntry{}} }

// touch records that a VM was seen and what it reports. It returns whether the
// VM is new or something has changed.
func (r *roster) touch(now time.Time, vm EntryVM, report *quarantine.Report) (changed bool) {
	before, known := r.entries[vm.Addr]
	r.entries[vm.Addr] = rosterEntry{vm: vm, report: report, seenAt: now}
	return !known || before.vm != vm || !before.report.Equal(report)
}

// crashReports returns what the listed entry VMs have reported.
func (r *roster) crashReports() []crashReport {
	var list []crashReport
	for _, e := range r.entries {
		if !e.report.IsEmpty() {
			list = append(list, crashReport{VM: e.vm.Addr, Report: *e.report})
		}
	}
	return list
}

// list removes expired entry VMs and returns the others, sorted by address.
func (r *roster) list(now time.Time) []EntryVM {
	var list []EntryVM
	for addr, e := range r.entries {
		if now.Sub(e.seenAt) > rosterExpiry {
			delete(r.entries, addr)
			continue
		}
		list = append(list, e.vm)
	}
	sortEntries(list)
	return list
}

// runRoster updates the roster until ctx ends: at intervals, and soon after an
// entry VM or a report of another control VM has changed. Until an entry VM
// knows the others of its zone it cannot tell which of them assembles the calls
// of a service.
func (s *Server) runRoster(ctx context.Context) {
	ticker := time.NewTicker(rosterInterval)
	defer ticker.Stop()
	for {
		reportsChanged := s.lists.nextChange(reportChanges)
		s.updateRoster(time.Now())
		timer.Sleep(ctx, rosterSpacing)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.rosterChanged:
		case <-reportsChanged:
		}
	}
}

// touchWatcher records that an entry VM watches this control VM.
func (s *Server) touchWatcher(now time.Time, call *watchCall) {
	s.mu.Lock()
	changed := s.watchers.touch(now, call.From, call.Report)
	s.mu.Unlock()
	if !changed {
		return
	}
	select {
	case s.rosterChanged <- struct{}{}:
	default:
	}
}

// updateRoster publishes the entry VMs that watch this control VM and what they
// report. While this VM leads, it merges the reports of all control VMs.
func (s *Server) updateRoster(now time.Time) {
	leads := s.opts.Control.Leads()
	s.mu.Lock()
	own := s.watchers.list(now)
	crashes := s.watchers.crashReports()
	switch {
	case !leads:
		s.leadsSince = time.Time{}
	case s.leadsSince.IsZero():
		s.leadsSince = now
	}
	leadsSince := s.leadsSince
	s.mu.Unlock()
	if recalled := s.recalledReport(now); recalled != nil {
		crashes = append(crashes, *recalled)
	}
	s.lists.put(watchersPrefix+s.opts.Self, now, encodeSet(own))
	s.lists.put(crashesPrefix+s.opts.Self, now, encodeSet(crashes))
	if leads {
		s.mergeReports(now, leadsSince)
		s.detectBadParts(now)
	} else {
		s.detector = nil
	}
	if s.opts.WarmUps {
		s.grantWarmUps(now, leadsSince)
	}
}

// mergeReports makes the list of all entry VMs from the reports of the control
// VMs. A new leader keeps its predecessor's entry VMs until every control VM has
// had the time to report.
func (s *Server) mergeReports(now, leadsSince time.Time) {
	all := s.lists.reportedEntries(now.Add(-rosterExpiry), now.Add(-reportRetention))
	if now.Sub(leadsSince) < rosterExpiry {
		for _, vm := range s.lists.entries() {
			if _, ok := all[vm.Addr]; !ok {
				all[vm.Addr] = vm
			}
		}
	}
	list := make([]EntryVM, 0, len(all))
	for _, vm := range all {
		list = append(list, vm)
	}
	s.lists.putEntries(now, list)
}
