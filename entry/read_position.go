package entry

import "sync"

// readPosition is the number of the last token that a caller has read. It is safe
// for concurrent use; the zero value is 0.
type readPosition struct {
	mu   sync.Mutex
	last uint64
	// advanced is closed when last increases. It is nil while nobody waits.
	advanced chan struct{}
}

func (p *readPosition) load() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// watch returns the position and a channel that is closed when it increases. All
// that wait are woken, because one of them may be an attempt that has just been
// cancelled.
func (p *readPosition) watch() (uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.advanced == nil {
		p.advanced = make(chan struct{})
	}
	return p.last, p.advanced
}

// advance raises the position to number. A lower number changes nothing.
func (p *readPosition) advance(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if number <= p.last {
		return
	}
	p.last = number
	if p.advanced != nil {
		close(p.advanced)
		p.advanced = nil
	}
}
