package control

import "github.com/VictoriaMetrics/metrics"

// counters holds the metrics of one replica and its server.
type counters struct {
	metricSet           *metrics.Set
	proposals           *metrics.Counter
	proposalsForwarded  *metrics.Counter
	proposalsUndecided  *metrics.Counter
	applied             *metrics.Counter
	leaderChanges       *metrics.Counter
	raftSentBytes       *metrics.Counter
	raftSendsFailed     *metrics.Counter
	raftMessagesDropped *metrics.Counter
	snapshotsStored     *metrics.Counter
	snapshotsRestored   *metrics.Counter
	renewals            *metrics.Counter
	renewalsRefused     *metrics.Counter
	reportsFailed       *metrics.Counter
	sessionsExpired     *metrics.Counter
	snapshotsPostponed  *metrics.Counter
	diskFullTotal       *metrics.Counter
	diskFull            *metrics.Gauge
	saveSeconds         *metrics.Histogram
}

func newCounters() *counters {
	s := metrics.NewSet()
	return &counters{
		metricSet:           s,
		proposals:           s.NewCounter("damask_control_proposals_total"),
		proposalsForwarded:  s.NewCounter("damask_control_proposals_forwarded_total"),
		proposalsUndecided:  s.NewCounter("damask_control_proposals_undecided_total"),
		applied:             s.NewCounter("damask_control_applied_total"),
		leaderChanges:       s.NewCounter("damask_control_leader_changes_total"),
		raftSentBytes:       s.NewCounter("damask_control_raft_sent_bytes_total"),
		raftSendsFailed:     s.NewCounter("damask_control_raft_sends_failed_total"),
		raftMessagesDropped: s.NewCounter("damask_control_raft_messages_dropped_total"),
		snapshotsStored:     s.NewCounter("damask_control_snapshots_stored_total"),
		snapshotsRestored:   s.NewCounter("damask_control_snapshots_restored_total"),
		renewals:            s.NewCounter("damask_control_renewals_total"),
		renewalsRefused:     s.NewCounter("damask_control_renewals_refused_total"),
		reportsFailed:       s.NewCounter("damask_control_reports_failed_total"),
		sessionsExpired:     s.NewCounter("damask_control_sessions_expired_total"),
		snapshotsPostponed:  s.NewCounter("damask_control_snapshots_postponed_total"),
		diskFullTotal:       s.NewCounter("damask_control_disk_full_total"),
		diskFull:            s.NewGauge("damask_control_disk_full", nil),
		saveSeconds:         s.NewHistogram("damask_control_save_seconds"),
	}
}
