package control

import "github.com/VictoriaMetrics/metrics"

// counters are the metrics of one replica and its server.
type counters struct {
	set             *metrics.Set
	proposals       *metrics.Counter
	forwarded       *metrics.Counter
	proposalsLost   *metrics.Counter
	applied         *metrics.Counter
	elections       *metrics.Counter
	raftBytes       *metrics.Counter
	failedSends     *metrics.Counter
	droppedMessages *metrics.Counter
	snapshots       *metrics.Counter
	snapshotsTaken  *metrics.Counter
	renewals        *metrics.Counter
	renewalsRefused *metrics.Counter
	reportsFailed   *metrics.Counter
	expiredSessions *metrics.Counter
	saveSeconds     *metrics.Histogram
}

func newCounters() *counters {
	s := metrics.NewSet()
	return &counters{
		set:             s,
		proposals:       s.NewCounter("damask_control_proposals_total"),
		forwarded:       s.NewCounter("damask_control_proposals_forwarded_total"),
		proposalsLost:   s.NewCounter("damask_control_proposals_undecided_total"),
		applied:         s.NewCounter("damask_control_applied_total"),
		elections:       s.NewCounter("damask_control_leader_changes_total"),
		raftBytes:       s.NewCounter("damask_control_raft_sent_bytes_total"),
		failedSends:     s.NewCounter("damask_control_raft_sends_failed_total"),
		droppedMessages: s.NewCounter("damask_control_raft_messages_dropped_total"),
		snapshots:       s.NewCounter("damask_control_snapshots_stored_total"),
		snapshotsTaken:  s.NewCounter("damask_control_snapshots_restored_total"),
		renewals:        s.NewCounter("damask_control_renewals_total"),
		renewalsRefused: s.NewCounter("damask_control_renewals_refused_total"),
		reportsFailed:   s.NewCounter("damask_control_reports_failed_total"),
		expiredSessions: s.NewCounter("damask_control_sessions_expired_total"),
		saveSeconds:     s.NewHistogram("damask_control_save_seconds"),
	}
}
