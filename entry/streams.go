package entry

import (
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/settings"
)

// streams holds the executions whose streams callers may resume, by request ID.
// It is safe for concurrent use.
type streams struct {
	mu   sync.Mutex
	byID map[string]*execution
}

func newStreams() *streams {
	return &streams{byID: make(map[string]*execution)}
}

// add keeps an execution until the resume retention after its end has passed.
func (s *streams) add(e *execution) {
	id := e.req.id.String()
	s.mu.Lock()
	s.byID[id] = e
	s.mu.Unlock()
	retention := e.req.tree.Duration(e.req.branch, settings.StreamResumeRetention)
	go func() {
		<-e.done
		time.AfterFunc(retention, func() { s.remove(id) })
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
