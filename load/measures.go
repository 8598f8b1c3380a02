package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	histogramMin    = 1 // µs
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), histogramMin), histogramMax)
	// The value is within the range.
	_ = h.RecordValue(us)
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	if h == nil || h.TotalCount() == 0 {
		return Percentiles{}
	}
	ms := func(us int64) float64 { return millis(time.Duration(us) * time.Microsecond) }
	return Percentiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

// measures collects what is measured while requests are open. It is safe for
// concurrent use.
type measures struct {
	mu      sync.Mutex
	firsts  map[Kind]*hdrhistogram.Histogram
	gaps    map[Kind]*hdrhistogram.Histogram
	resumes int
}

func newMeasures() *measures {
	return &measures{
		firsts: map[Kind]*hdrhistogram.Histogram{},
		gaps:   map[Kind]*hdrhistogram.Histogram{},
	}
}

// first records the time from the scheduled time to the first token.
func (m *measures) first(k Kind, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	observeKind(m.firsts, k, d)
}

// gap records the time between two tokens.
func (m *measures) gap(k Kind, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	observeKind(m.gaps, k, d)
}

func (m *measures) resumed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resumes++
}

func observeKind(all map[Kind]*hdrhistogram.Histogram, k Kind, d time.Duration) {
	if all[k] == nil {
		all[k] = newHistogram()
	}
	observe(all[k], d)
}
