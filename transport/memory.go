package transport

import (
	"context"
	"errors"
	"sync"
)

// Reasons of failed calls in a Memory network.
var (
	ErrCut        = errors.New("the direction is cut")
	ErrNoListener = errors.New("nothing listens at the address")
)

// DelayFunc holds a message back for as long as it does not return. It is
// called for each request and each answer outside of any lock, so that a test
// decides with its own clock or channel how long a message is under way. It
// returns when ctx ends at the latest.
type DelayFunc func(ctx context.Context, from, to string, m Method)

// Memory is a network within one process for tests: named endpoints, cuts of
// one or both directions, delays and frozen endpoints. It uses no real time.
// It is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	endpoints map[string]*Endpoint
	cuts      map[direction]struct{}
	delay     DelayFunc
}

type direction struct{ from, to string }

// NewMemory makes an empty network.
func NewMemory() *Memory {
	return &Memory{
		endpoints: make(map[string]*Endpoint),
		cuts:      make(map[direction]struct{}),
	}
}

// Endpoint is one process of a Memory network. Its name is its address. It is
// a Caller.
type Endpoint struct {
	network *Memory
	name    string
	peer    Peer

	// network.mu guards the rest.
	handler Handler
	thawed  chan struct{} // nil unless frozen
}

var _ Caller = (*Endpoint)(nil)

// Endpoint gives the endpoint with this name. Calls that it makes carry peer;
// the first use of a name fixes it.
func (m *Memory) Endpoint(name string, peer Peer) *Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.endpoints[name]
	if !ok {
		e = &Endpoint{network: m, name: name, peer: peer}
		m.endpoints[name] = e
	}
	return e
}

// Addr is the address under which others call the endpoint.
func (e *Endpoint) Addr() string { return e.name }

// Listen makes h the endpoint's handler; nil stops listening.
func (e *Endpoint) Listen(h Handler) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.handler = h
}

// Cut loses every message from one endpoint to another. A call whose request
// or answer is lost fails at once with a *LostError that wraps ErrCut.
func (m *Memory) Cut(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[direction{from, to}] = struct{}{}
}

// CutBoth loses every message between two endpoints.
func (m *Memory) CutBoth(a, b string) {
	m.Cut(a, b)
	m.Cut(b, a)
}

// Heal ends the cut of one direction.
func (m *Memory) Heal(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.cuts, direction{from, to})
}

// HealAll ends every cut.
func (m *Memory) HealAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.cuts)
}

// Isolate cuts both directions between name and every other endpoint that
// exists now.
func (m *Memory) Isolate(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other := range m.endpoints {
		if other != name {
			m.cuts[direction{name, other}] = struct{}{}
			m.cuts[direction{other, name}] = struct{}{}
		}
	}
}

// SetDelay sets the delay of all messages from now on; nil means none.
func (m *Memory) SetDelay(d DelayFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = d
}

// Freeze stops an endpoint: requests to it reach its handler, and answers to
// its own calls reach it, only after Thaw.
func (m *Memory) Freeze(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.endpoints[name]; ok && e.thawed == nil {
		e.thawed = make(chan struct{})
	}
}

// Thaw lets a frozen endpoint go on.
func (m *Memory) Thaw(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.endpoints[name]; ok && e.thawed != nil {
		close(e.thawed)
		e.thawed = nil
	}
}

// Call sends a request to the endpoint named addr. The handler runs with a
// context that ends with the caller's.
func (e *Endpoint) Call(ctx context.Context, addr string, m Method, body []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	h := e.network.handlerOf(addr)
	if h == nil {
		return nil, &NotSentError{Addr: addr, Err: ErrNoListener}
	}
	// Each side gets its own copy of the bytes, as over a real network.
	request := append([]byte(nil), body...)
	if err := e.network.carry(ctx, e.name, addr, m); err != nil {
		return nil, &LostError{Addr: addr, Err: err}
	}
	reply, handlerErr := h.Serve(ctx, e.peer, m, request)
	reply = append([]byte(nil), reply...)
	if err := e.network.carry(ctx, addr, e.name, m); err != nil {
		return nil, &LostError{Addr: addr, Err: err}
	}
	if handlerErr != nil {
		return nil, &RemoteError{Addr: addr, Message: handlerErr.Error()}
	}
	return reply, nil
}

func (m *Memory) handlerOf(addr string) Handler {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.endpoints[addr]; ok {
		return e.handler
	}
	return nil
}

// carry takes one message from one endpoint to another: it waits for the delay
// and for a frozen receiver, and loses the message if the direction is cut when
// it is sent or when it arrives.
func (m *Memory) carry(ctx context.Context, from, to string, method Method) error {
	if m.isCut(from, to) {
		return ErrCut
	}
	m.mu.Lock()
	delay := m.delay
	m.mu.Unlock()
	if delay != nil {
		delay(ctx, from, to, method)
	}
	if err := m.awaitThaw(ctx, to); err != nil {
		return err
	}
	if m.isCut(from, to) {
		return ErrCut
	}
	return ctx.Err()
}

func (m *Memory) isCut(from, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.cuts[direction{from, to}]
	return ok
}

func (m *Memory) awaitThaw(ctx context.Context, name string) error {
	m.mu.Lock()
	var thawed chan struct{}
	if e, ok := m.endpoints[name]; ok {
		thawed = e.thawed
	}
	m.mu.Unlock()
	if thawed == nil {
		return nil
	}
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
