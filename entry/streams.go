package entry

import (
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// streams keeps executions that callers may resume. It is safe for concurrent
// use.
type streams struct {
	mu   sync.Mutex
	byID map[string]*execution
}

func newStreams() *streams {
	return &streams{byID: make(map[string]*execution)}
}

// add keeps an execution until its retention after its end has passed.
func (s *streams) add(e *execution) {
	id := e.q.id.String()
	s.mu.Lock()
	s.byID[id] = e
	s.mu.Unlock()
	keep := e.q.tree.Duration(e.q.branch, settings.StreamResumeRetention)
	go func() {
		<-e.done
		time.AfterFunc(keep, func() { s.remove(id) })
	}()
}

func (s *streams) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

func (s *streams) find(id string) (*execution, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.byID[id]
	return e, ok
}
