package transport

import (
	"context"
	"errors"
	"sync"
)

// Errors wrapped by failed calls in a MemoryNetwork.
var (
	ErrCut        = errors.New("the network is cut in this direction")
	ErrNoListener = errors.New("no handler listens at the address")
)

// DelayFunc delays a message until it returns. It is called for each request and
// each response without a lock held, so that a test determines the latency of a
// message with its own clock or channel. It must return when ctx ends.
type DelayFunc func(ctx context.Context, from, to string, m Method)

// MemoryNetwork is an in-process network for tests. It simulates named
// endpoints, cuts of one or both directions, delays and frozen endpoints. It
// does not depend on real time and is safe for concurrent use.
type MemoryNetwork struct {
	mu        sync.Mutex
	endpoints map[string]*Endpoint
	cuts      map[direction]struct{}
	delay     DelayFunc
}

type direction struct{ from, to string }

// NewMemoryNetwork returns a network without endpoints.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{
		endpoints: make(map[string]*Endpoint),
		cuts:      make(map[direction]struct{}),
	}
}

// Endpoint is a Caller that represents one process of a MemoryNetwork. Its name
// is its address.
type Endpoint struct {
	network *MemoryNetwork
	name    string
	peer    Peer

	// network.mu guards the fields below.
	handler Handler
	thawed  chan struct{} // nil unless frozen
}

var _ Caller = (*Endpoint)(nil)

// Endpoint returns the endpoint with the given name and creates it on first use.
// Handlers see peer as the caller of its calls; later calls of Endpoint for the
// same name do not change it.
func (m *MemoryNetwork) Endpoint(name string, peer Peer) *Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.endpoints[name]
	if !ok {
		e = &Endpoint{network: m, name: name, peer: peer}
		m.endpoints[name] = e
	}
	return e
}

// Addr returns the address of the endpoint.
func (e *Endpoint) Addr() string { return e.name }

// Listen sets the endpoint's handler; nil stops listening.
func (e *Endpoint) Listen(h Handler) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.handler = h
}

// Cut drops every message from one endpoint to another. A call whose request or
// response is dropped fails immediately with an *OutcomeUnknownError that wraps
// ErrCut.
func (m *MemoryNetwork) Cut(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[direction{from, to}] = struct{}{}
}

// CutBoth drops every message between two endpoints.
func (m *MemoryNetwork) CutBoth(a, b string) {
	m.Cut(a, b)
	m.Cut(b, a)
}

// Heal ends the cut of one direction.
func (m *MemoryNetwork) Heal(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.cuts, direction{from, to})
}

// HealAll ends every cut.
func (m *MemoryNetwork) HealAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.cuts)
}

// Isolate cuts both directions between the named endpoint and every other one
// that exists at the time of the call.
func (m *MemoryNetwork) Isolate(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other := range m.endpoints {
		if other != name {
			m.cuts[direction{name, other}] = struct{}{}
			m.cuts[direction{other, name}] = struct{}{}
		}
	}
}

// SetDelay sets the delay of all subsequent messages; nil means none.
func (m *MemoryNetwork) SetDelay(d DelayFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = d
}

// Freeze pauses an endpoint: requests to it and responses to its own calls are
// delivered only after Thaw.
func (m *MemoryNetwork) Freeze(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.endpoints[name]; ok && e.thawed == nil {
		e.thawed = make(chan struct{})
	}
}

// Thaw resumes a frozen endpoint.
func (m *MemoryNetwork) Thaw(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.endpoints[name]; ok && e.thawed != nil {
		close(e.thawed)
		e.thawed = nil
	}
}

// Call sends a request to the endpoint named addr. The handler runs with the
// caller's context.
func (e *Endpoint) Call(ctx context.Context, addr string, m Method, body []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	h := e.network.handlerOf(addr)
	if h == nil {
		return nil, &NotSentError{Addr: addr, Err: ErrNoListener}
	}
	// Each side has its own copy of the bytes, as over a real network.
	request := append([]byte(nil), body...)
	if err := e.network.deliver(ctx, e.name, addr, m); err != nil {
		return nil, &OutcomeUnknownError{Addr: addr, Err: err}
	}
	reply, handlerErr := h.Serve(ctx, e.peer, m, request)
	reply = append([]byte(nil), reply...)
	if err := e.network.deliver(ctx, addr, e.name, m); err != nil {
		return nil, &OutcomeUnknownError{Addr: addr, Err: err}
	}
	if handlerErr != nil {
		return nil, &RemoteError{Addr: addr, Message: handlerErr.Error()}
	}
	return reply, nil
}

func (m *MemoryNetwork) handlerOf(addr string) Handler {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.endpoints[addr]; ok {
		return e.handler
	}
	return nil
}

// deliver simulates the delivery of one message: it waits for the delay and for
// a frozen receiver, and returns ErrCut if the direction is cut when the message
// is sent or when it arrives.
func (m *MemoryNetwork) deliver(ctx context.Context, from, to string, method Method) error {
	if m.isCut(from, to) {
		return ErrCut
	}
	m.mu.Lock()
	delay := m.delay
	m.mu.Unlock()
	if delay != nil {
		delay(ctx, from, to, method)
	}
	if err := m.waitUntilThawed(ctx, to); err != nil {
		return err
	}
	if m.isCut(from, to) {
		return ErrCut
	}
	return ctx.Err()
}

func (m *MemoryNetwork) isCut(from, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.cuts[direction{from, to}]
	return ok
}

func (m *MemoryNetwork) waitUntilThawed(ctx context.Context, name string) error {
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
