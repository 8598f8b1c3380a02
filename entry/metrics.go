package entry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of one entry VM.
type counters struct {
	set *metrics.Set
}

func newCounters() *counters {
	return &counters{set: metrics.NewSet()}
}

// refused counts a problem by its reason and execution state.
func (c *counters) refused(reason, state string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_problems_total{reason=%q,execution_state=%q}", reason, state)).Inc()
}

// retried counts an attempt after the first one, by the reason for it.
func (c *counters) retried(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_retries_total{reason=%q}", reason)).Inc()
}

// shed counts a request that got no place in a pool, by reason.
func (c *counters) shed(pool, reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_shed_total{pool=%q,reason=%q}", pool, reason)).Inc()
}

// attempt counts an ended attempt by pool and outcome.
func (c *counters) attempt(pool, outcome string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_attempts_total{pool=%q,outcome=%q}", pool, outcome)).Inc()
}

// answered counts a complete answer by kind and workspace.
func (c *counters) answered(kind, workspace string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_answers_total{kind=%q,workspace=%q}", kind, workspace)).Inc()
}

// crossRegion counts bytes exchanged with another region.
func (c *counters) crossRegion(region string, n int) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_cross_region_bytes_total{region=%q}", region)).Add(n)
}

// cost adds a stage's cost units by pool.
func (c *counters) cost(pool string, units float64) {
	c.set.GetOrCreateFloatCounter(fmt.Sprintf("damask_entry_cost_units_total{pool=%q}", pool)).Add(units)
}

// auditLost counts audit records that could not be queued.
func (c *counters) auditLost() {
	c.set.GetOrCreateCounter("damask_entry_audit_records_lost_total").Inc()
}

func (c *counters) write(w io.Writer) {
	c.set.WritePrometheus(w)
	// The transport and the audit writer count in the process's own set.
	metrics.WritePrometheus(w, true)
}
