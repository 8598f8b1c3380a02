package directory

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// slowApply is how long a new state may take to be applied before that is
// logged.
const slowApply = 500 * time.Millisecond

// stuckApply is how long a new state may take to be applied before this VM counts
// as stuck. Its routes and runners may be outdated by then.
const stuckApply = 2 * time.Second

// applyMonitor shows how long this VM takes to apply new states, also while one
// is being applied.
type applyMonitor struct {
	logger  *log.Logger
	set     *metrics.Set
	seconds *metrics.Histogram
	// startedAt is when the current application began, nil if there is none.
	startedAt atomic.Pointer[time.Time]
}

func newApplyMonitor(logger *log.Logger) *applyMonitor {
	m := &applyMonitor{logger: logger, set: metrics.NewSet()}
	m.seconds = m.set.NewHistogram("damask_directory_apply_seconds")
	m.set.NewGauge("damask_directory_applying_seconds", func() float64 { return m.running(time.Now()).Seconds() })
	return m
}

// run calls apply, which applies a state with a document of the given version,
// and returns how long that took.
func (m *applyMonitor) run(version uint64, apply func()) time.Duration {
	began := time.Now()
	m.startedAt.Store(&began)
	warning := time.AfterFunc(slowApply, func() {
		m.logger.Warn().Uint64("version", version).Msg("directory: a new state is still being applied; newer ones wait for it")
	})
	apply()
	warning.Stop()
	m.startedAt.Store(nil)
	took := time.Since(began)
	m.seconds.Update(took.Seconds())
	if took > slowApply {
		m.logger.Warn().Uint64("version", version).Int64("ms", took.Milliseconds()).Msg("directory: a new state was applied late")
	}
	return took
}

// running returns how long the current application has taken so far, or 0 if
// there is none.
func (m *applyMonitor) running(now time.Time) time.Duration {
	if at := m.startedAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}
