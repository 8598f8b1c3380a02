package entry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the counters of one entry VM.
type counters struct {
	set *metrics.Set
}

func newCounters() *counters {
	return &counters{set: metrics.NewSet()}
}

// countProblem counts a problem response by reason and execution state.
func (c *counters) countProblem(reason, state string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_problems_total{reason=%q,execution_state=%q}", reason, state)).Inc()
}

// countRetry counts an attempt after the first one, by its reason.
func (c *counters) countRetry(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_retries_total{reason=%q}", reason)).Inc()
}

// countShed counts a request rejected by a pool's admission, by reason.
func (c *counters) countShed(pool, reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_shed_total{pool=%q,reason=%q}", pool, reason)).Inc()
}

// countAttempt counts an ended attempt by pool and outcome.
func (c *counters) countAttempt(pool, outcome string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_attempts_total{pool=%q,outcome=%q}", pool, outcome)).Inc()
}

// countAnswer counts a complete response by kind and workspace.
func (c *counters) countAnswer(kind, workspace string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_answers_total{kind=%q,workspace=%q}", kind, workspace)).Inc()
}

// addCrossRegionBytes adds bytes exchanged with another region.
func (c *counters) addCrossRegionBytes(region string, n int) {
	c.set.GetOrCreateCounter(fmt.Sprintf("damask_entry_cross_region_bytes_total{region=%q}", region)).Add(n)
}

// addCost adds a stage's cost units by pool.
func (c *counters) addCost(pool string, units float64) {
	c.set.GetOrCreateFloatCounter(fmt.Sprintf("damask_entry_cost_units_total{pool=%q}", pool)).Add(units)
}

// countLostRecord counts an audit record that could not be queued.
func (c *counters) countLostRecord() {
	c.set.GetOrCreateCounter("damask_entry_audit_records_lost_total").Inc()
}

// write writes all counters in Prometheus format.
func (c *counters) write(w io.Writer) {
	c.set.WritePrometheus(w)
	// The transport and the audit writer use the process's default set.
	metrics.WritePrometheus(w, true)
}
