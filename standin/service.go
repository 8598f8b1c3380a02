package standin

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/standin/content"
)

// maxServiceBody bounds the body of a service call in bytes.
const maxServiceBody = 4 << 20

// ServiceOptions configure one runner of a plain service.
type ServiceOptions struct {
	Common
	// Name is the service's name in its responses; the default is the pool.
	Name string
	// Keys counts executions; runners of one service share it. The default is
	// a count of the runner's own.
	Keys *KeyCount
	// Base is the working time of a call; the default is 3 ms.
	Base time.Duration
	// Slots is the number of calls in work at once; the default is 32.
	Slots int
	// MaxWaiting is the number of calls that may wait for a slot before new
	// ones are rejected; the default is 256.
	MaxWaiting int
}

func (o *ServiceOptions) setDefaults() {
	if o.Name == "" {
		o.Name = o.Runner.Pool
	}
	if o.Keys == nil {
		o.Keys = NewKeyCount()
	}
	if o.Base == 0 {
		o.Base = 3 * time.Millisecond
	}
	if o.Slots == 0 {
		o.Slots = 32
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = 256
	}
}

// Service simulates one runner of a plain service. It does not deduplicate: a
// call that arrives twice executes twice. A call that has begun runs to its
// end, also when its caller goes away.
type Service struct {
	*core
	options ServiceOptions
	slots   chan struct{}
}

// NewService makes a runner.
func NewService(o ServiceOptions) *Service {
	o.setDefaults()
	s := &Service{core: newCore(o.Common), options: o, slots: make(chan struct{}, o.Slots)}
	s.work("POST /call/{op}", s.serveCall)
	return s
}

// Keys returns the count of executions for each key.
func (s *Service) Keys() *KeyCount { return s.options.Keys }

// ServiceResponse is the body of a response to a service call.
type ServiceResponse struct {
	Service    string `json:"service"`
	Op         string `json:"op"`
	Ticket     string `json:"ticket"`
	Executions int    `json:"executions"`
	Echo       string `json:"echo"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServiceBody))
	if err != nil {
		s.reject(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if _, waiting := s.load.real(); waiting >= s.options.MaxWaiting {
		s.reject(w, http.StatusTooManyRequests, "overloaded", "the queue is full")
		return
	}
	s.load.add(0, 1)
	select {
	case s.slots <- struct{}{}:
	case <-s.done:
		s.load.add(0, -1)
		panic(http.ErrAbortHandler)
	}
	s.load.add(1, -1)
	res := s.execute(r, body)
	<-s.slots
	s.load.add(-1, 0)
	s.deliver(w, r, res)
}

// execute runs the operation. Its effect takes place at the beginning, so a
// runner that stops in the middle has executed it.
func (s *Service) execute(r *http.Request, body []byte) response {
	op := r.PathValue("op")
	s.journal.begin(r.Header.Get(HeaderAttempt))
	executions, ordinal := s.options.Keys.execute(r.Header.Get(HeaderKey))
	s.pause(noCancel(r), s.scaled(s.options.Base))
	s.journal.update(func(c *Counters) { c.Finished++ })
	return jsonResponse(http.StatusOK, ServiceResponse{
		Service:    s.options.Name,
		Op:         op,
		Ticket:     fmt.Sprintf("%s-%s-%d", s.options.Name, op, ordinal),
		Executions: executions,
		Echo:       content.ServiceEcho(body),
	})
}
