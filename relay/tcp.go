package relay

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// TCP relays connections from callers to a target in another region.
type TCP struct {
	network  *Network
	listener net.Listener
	target   string
	regionOf RegionOf
	to       ids.Region

	mu      sync.Mutex
	tunnels map[*tunnel]struct{}
	closed  bool
}

// ListenTCP relays connections that arrive at addr ("ip:port", port 0 allowed)
// over the network's link between two regions. Close, or the network's Close,
// ends it.
func (n *Network) ListenTCP(addr, target string, from, to ids.Region) (*TCP, error) {
	return n.ListenTCPFrom(addr, target, func(netip.AddrPort) (ids.Region, bool) { return from, true }, to)
}

// ListenTCPFrom relays connections as ListenTCP does, for callers of several
// regions at one address. A connection whose caller is not known is reset.
func (n *Network) ListenTCPFrom(addr, target string, regionOf RegionOf, to ids.Region) (*TCP, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("relay: %w; give an address of this machine that is free", err)
	}
	r := &TCP{network: n, listener: l, target: target, regionOf: regionOf, to: to, tunnels: map[*tunnel]struct{}{}}
	n.register(r)
	go r.run()
	return r, nil
}

// Addr gives the address that callers use.
func (r *TCP) Addr() string { return r.listener.Addr().String() }

func (r *TCP) freezeBetween(a, b ids.Region) int {
	n := 0
	for _, t := range r.open() {
		if t.pairing.joins(a, b) {
			t.freeze()
			n++
		}
	}
	return n
}

// Reset resets the present connections. New ones work.
func (r *TCP) Reset() {
	for _, t := range r.open() {
		t.reset()
	}
}

func (r *TCP) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve relays one connection. The target is reached only after the round trip
// of a handshake, and not while a direction is cut; the caller, whose handshake
// is with this relay, sees the wait in its first bytes.
func (r *TCP) serve(caller net.Conn) {
	t := newTunnel(caller)
	from, known := r.regionOf(caller.RemoteAddr().(*net.TCPAddr).AddrPort())
	if !known {
		t.reset()
		return
	}
	t.pairing = Pair{From: from, To: r.to}
	forward, back := r.network.Direction(from, r.to), r.network.Direction(r.to, from)
	if !r.add(t) {
		t.close()
		return
	}
	defer r.remove(t)
	defer t.close()
	if !waitUntil(forward.due(time.Now(), 0), t.stop) || !forward.await(t.stop) {
		return
	}
	if !waitUntil(back.due(time.Now(), 0), t.stop) || !back.await(t.stop) {
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		t.reset()
		return
	}
	if !t.setTarget(target) {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { t.pump(caller, target, forward) })
	pumps.Go(func() { t.pump(target, caller, back) })
	pumps.Wait()
}

func (r *TCP) add(t *tunnel) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.tunnels[t] = struct{}{}
	return true
}

func (r *TCP) remove(t *tunnel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tunnels, t)
}

func (r *TCP) open() []*tunnel {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*tunnel, 0, len(r.tunnels))
	for t := range r.tunnels {
		all = append(all, t)
	}
	return all
}

// Freeze stops the present connections for good, without closing them. New
// connections work.
func (r *TCP) Freeze() {
	for _, t := range r.open() {
		t.freeze()
	}
}

// Connections gives the number of open connections.
func (r *TCP) Connections() int { return len(r.open()) }

// Close ends the relay and its connections.
func (r *TCP) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	for _, t := range r.open() {
		t.close()
	}
}
