package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"damaskbridge.example/damaskbridge/standin/content"
)

// StagePoolOptions configure one runner of a stage pool.
type StagePoolOptions struct {
	Common
	// Kind is encode, retrieve or rerank.
	Kind string
	// Base is the working time of a call on an idle runner; the default is
	// 4 ms.
	Base time.Duration
	// PerRunning is added for each other call in work; the default is 0.4 ms.
	PerRunning time.Duration
	// Slots is the number of calls in work at once; the default is 16.
	Slots int
	// MaxWaiting is the number of calls that may wait for a slot before new
	// ones are rejected; the default is 64.
	MaxWaiting int
	// CostPerCall is the reported cost of a call; the default is 0.1.
	CostPerCall float64
}

func (o *StagePoolOptions) setDefaults() {
	if o.Kind == "" {
		o.Kind = content.Encode
	}
	if o.Base == 0 {
		o.Base = 4 * time.Millisecond
	}
	if o.PerRunning == 0 {
		o.PerRunning = 400 * time.Microsecond
	}
	if o.Slots == 0 {
		o.Slots = 16
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = 64
	}
	if o.CostPerCall == 0 {
		o.CostPerCall = 0.1
	}
}

// StagePool simulates one runner of a pool of encoders, retrievers or
// rerankers. A call whose caller goes away is stopped.
type StagePool struct {
	*core
	options StagePoolOptions
	slots   chan struct{}
}

// NewStagePool makes a runner.
func NewStagePool(o StagePoolOptions) *StagePool {
	o.setDefaults()
	s := &StagePool{core: newCore(o.Common), options: o, slots: make(chan struct{}, o.Slots)}
	s.work("POST /v1/stages/"+o.Kind, s.serveStage)
	return s
}

type stageRequest struct {
	Input string `json:"input"`
	Prior string `json:"prior"`
}

type stageResponse struct {
	Output    string  `json:"output"`
	CostUnits float64 `json:"cost_units"`
	SHA256    string  `json:"sha256"`
}

func (s *StagePool) serveStage(w http.ResponseWriter, r *http.Request) {
	var req stageRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		s.reject(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !s.acquire(w, r) {
		return
	}
	defer s.release()
	s.journal.begin(r.Header.Get(HeaderAttempt))
	running, _ := s.load.real()
	work := s.options.Base + time.Duration(running-1)*s.options.PerRunning
	if !s.pause(r.Context(), s.scaled(work)) {
		s.journal.update(func(c *Counters) { c.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	s.journal.update(func(c *Counters) { c.Finished++ })
	output := content.StageOutput(s.options.Kind, req.Input, req.Prior)
	s.deliver(w, r, jsonResponse(http.StatusOK, stageResponse{
		Output:    output,
		CostUnits: s.options.CostPerCall,
		SHA256:    content.Digest(output),
	}))
}

// acquire waits for a slot. If it is false, the call has been answered or its
// caller has gone; nothing was executed.
func (s *StagePool) acquire(w http.ResponseWriter, r *http.Request) bool {
	if _, waiting := s.load.real(); waiting >= s.options.MaxWaiting {
		s.reject(w, http.StatusTooManyRequests, "overloaded", "the queue is full")
		return false
	}
	s.load.add(0, 1)
	select {
	case s.slots <- struct{}{}:
		s.load.add(1, -1)
		return true
	case <-r.Context().Done():
		s.load.add(0, -1)
		return false
	case <-s.done:
		s.load.add(0, -1)
		return false
	}
}

func (s *StagePool) release() {
	<-s.slots
	s.load.add(-1, 0)
}

func itoa(n int) string { return strconv.Itoa(n) }
