package entry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// writeGauges writes the current state of the settings lease, the admission
// gates and the upstreams in Prometheus format.
func (s *Server) writeGauges(w io.Writer) {
	now := time.Now()
	if snap := s.subscriber.snapshot(); snap != nil {
		metrics.WriteGaugeUint64(w, "damask_entry_settings_version", treeVersion(snap.tree))
		left := max(0, snap.lease.until.Sub(now))
		metrics.WriteGaugeUint64(w, "damask_entry_settings_lease_milliseconds", uint64(left.Milliseconds()))
	}
	for pool, status := range s.gates.Status() {
		writePoolGauge(w, "damask_entry_gate_limit", pool, status.Limit)
		writePoolGauge(w, "damask_entry_gate_in_flight", pool, status.InFlight)
		writePoolGauge(w, "damask_entry_gate_waiting", pool, status.Waiting)
	}
	view := s.runners.members.View()
	for _, pool := range view.Pools() {
		usable := 0
		for _, u := range view.Pool(pool) {
			if u.Usable(now) {
				usable++
			}
		}
		writePoolGauge(w, "damask_entry_upstreams_usable", pool, usable)
		writePoolGauge(w, "damask_entry_upstreams_listed", pool, len(view.Pool(pool)))
	}
	s.writeRoutingCounters(w)
}

// writeRoutingCounters writes the counters of the router and the membership
// view.
func (s *Server) writeRoutingCounters(w io.Writer) {
	r := s.runners.router.Counts()
	metrics.WriteCounterUint64(w, "damask_entry_routing_choices_total", r.Choices)
	metrics.WriteCounterUint64(w, "damask_entry_routing_no_candidate_total", r.NoCandidate)
	metrics.WriteCounterUint64(w, "damask_entry_routing_probes_total", r.Probes)
	metrics.WriteCounterUint64(w, "damask_entry_routing_ejections_total", r.Ejections)
	metrics.WriteCounterUint64(w, "damask_entry_routing_ejections_refused_total", r.EjectionsRefused)
	m := s.runners.members.Counts()
	metrics.WriteCounterUint64(w, "damask_entry_membership_suspect_lists_total", m.SuspectLists)
	metrics.WriteCounterUint64(w, "damask_entry_membership_draining_total", m.Draining)
	metrics.WriteCounterUint64(w, "damask_entry_membership_refused_total", m.Refused)
	metrics.WriteCounterUint64(w, "damask_entry_membership_signs_applied_total", m.ObservationsApplied)
}

func writePoolGauge(w io.Writer, name, pool string, n int) {
	metrics.WriteGaugeUint64(w, fmt.Sprintf("%s{pool=%q}", name, pool), uint64(n))
}
