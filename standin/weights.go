package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// WeightsOptions configure the weight store.
type WeightsOptions struct {
	Common
	// BytesPerSecond is the rate of the store; the default is 1 GiB/s.
	BytesPerSecond int64
	// Burst is the most that one call may draw; the default is one second's
	// worth.
	Burst int64
}

// Weights simulates the rate-limited weight store. A draw is answered at once
// with a receipt in place of the bytes, or rejected with 429 and Retry-After.
type Weights struct {
	*core
	limiter *rate.Limiter

	mu      sync.Mutex
	drawn   map[string]int64
	refused int64
}

// NewWeights makes a store.
func NewWeights(o WeightsOptions) *Weights {
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = 1 << 30
	}
	if o.Burst == 0 {
		o.Burst = o.BytesPerSecond
	}
	s := &Weights{
		core:    newCore(o.Common),
		limiter: rate.NewLimiter(rate.Limit(o.BytesPerSecond), int(o.Burst)),
		drawn:   map[string]int64{},
	}
	s.mux.HandleFunc("GET /weights/{model}", s.serveWeights)
	return s
}

// Drawn returns the bytes drawn for a model.
func (s *Weights) Drawn(model string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drawn[model]
}

// Refused returns the number of draws above the rate.
func (s *Weights) Refused() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// weightsReceipt is the body of the store's responses.
type weightsReceipt struct {
	Model        string `json:"model"`
	Bytes        int64  `json:"bytes"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func (s *Weights) serveWeights(w http.ResponseWriter, r *http.Request) {
	model := r.PathValue("model")
	bytes, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || bytes <= 0 || bytes > int64(s.limiter.Burst()) {
		errorResponse(http.StatusBadRequest, "bad_request", "bytes must be from 1 to "+itoa(s.limiter.Burst())).write(w)
		return
	}
	if wait := s.reserve(bytes); wait > 0 {
		s.refuse(w, model, bytes, wait)
		return
	}
	s.mu.Lock()
	s.drawn[model] += bytes
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, weightsReceipt{Model: model, Bytes: bytes})
}

// reserve takes bytes from the budget, or gives the time until it has them.
func (s *Weights) reserve(bytes int64) time.Duration {
	now := s.Now()
	reservation := s.limiter.ReserveN(now, int(bytes))
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

func (s *Weights) refuse(w http.ResponseWriter, model string, bytes int64, wait time.Duration) {
	s.mu.Lock()
	s.refused++
	s.mu.Unlock()
	seconds := int64((wait + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusTooManyRequests)
	_ = json.NewEncoder(w).Encode(weightsReceipt{Model: model, Bytes: bytes, RetryAfterMS: wait.Milliseconds() + 1})
}
