package standin

import (
	"fmt"
	"sync"
	"time"
)

// LoadReport is the body of GET /load.
type LoadReport struct {
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	KVUsedPercent float64 `json:"kv_used_percent"`
	AtUnixMS      int64   `json:"at_unix_ms"`
	Draining      bool    `json:"draining"`
}

// header returns the form of the Damask-Load header.
func (r LoadReport) header() string {
	return fmt.Sprintf("running=%d;waiting=%d;at=%d", r.Running, r.Waiting, r.AtUnixMS)
}

// loadSample is the load from a moment on.
type loadSample struct {
	at      time.Time
	running int
	waiting int
	kvUsed  float64
}

// loadHistory reports the load as it was one lag ago.
type loadHistory struct {
	lag time.Duration
	now func() time.Time

	mu      sync.Mutex
	current loadSample
	past    []loadSample
}

func newLoadHistory(lag time.Duration, now func() time.Time) *loadHistory {
	return &loadHistory{lag: lag, now: now}
}

// change updates the present load.
func (h *loadHistory) change(update func(*loadSample)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := h.now()
	if h.lag > 0 {
		h.past = append(h.past, h.current)
		h.drop(at)
	}
	update(&h.current)
	h.current.at = at
}

func (h *loadHistory) add(running, waiting int) {
	h.change(func(s *loadSample) {
		s.running += running
		s.waiting += waiting
	})
}

// drop removes samples that can no longer be reported: all but the newest of
// those older than the lag.
func (h *loadHistory) drop(at time.Time) {
	limit := at.Add(-h.lag)
	keep := 0
	for keep+1 < len(h.past) && !h.past[keep+1].at.After(limit) {
		keep++
	}
	if keep > 0 {
		h.past = append(h.past[:0], h.past[keep:]...)
	}
}

// report returns the load one lag ago.
func (h *loadHistory) report() LoadReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := h.now().Add(-h.lag)
	s := h.current
	for i := len(h.past) - 1; s.at.After(limit) && i >= 0; i-- {
		s = h.past[i]
	}
	return LoadReport{
		Running:       s.running,
		Waiting:       s.waiting,
		KVUsedPercent: s.kvUsed,
		AtUnixMS:      limit.UnixMilli(),
	}
}

// real returns the present load.
func (h *loadHistory) real() (running, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.running, h.current.waiting
}
